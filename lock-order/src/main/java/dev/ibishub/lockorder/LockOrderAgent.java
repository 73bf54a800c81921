package dev.ibishub.lockorder;

import java.io.IOException;
import java.lang.instrument.ClassFileTransformer;
import java.lang.instrument.Instrumentation;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.ProtectionDomain;

/**
 * Instruments the project's classes as they are loaded, so that {@link LockOrder} learns of each
 * monitor that they enter. Test classes are left out, as some wait for each other on purpose.
 *
 * <pre>{@code
 * java -javaagent:ibishub-lock-order.jar=target/lock-order ...
 * }</pre>
 */
public final class LockOrderAgent {
  private static final String OWN_CLASSES = "dev/ibishub/";
  private static final String OWN_PACKAGE = "dev/ibishub/lockorder/";
  private static final String GENERATED_PACKAGE = "/generated/";
  private static final String TEST_CLASSES = "/test-classes/";

  private LockOrderAgent() {}

  /**
   * Starts to record.
   *
   * @param folder where each process writes a file of its own
   */
  public static void premain(String folder, Instrumentation instrumentation) throws IOException {
    Path target = Path.of(folder);
    Files.createDirectories(target);
    LockOrder.writeTo(target.resolve(ProcessHandle.current().pid() + ".txt"));
    instrumentation.addTransformer(new Transformer());
  }

  private static final class Transformer implements ClassFileTransformer {
    @Override
    public byte[] transform(
        ClassLoader loader,
        String name,
        Class<?> redefined,
        ProtectionDomain domain,
        byte[] classFile) {
      boolean isOwn =
          name != null
              && name.startsWith(OWN_CLASSES)
              && !name.startsWith(OWN_PACKAGE)
              && !name.contains(GENERATED_PACKAGE)
              && !isOfTests(domain);
      return isOwn ? LockInstrumentation.instrument(classFile) : null;
    }

    private static boolean isOfTests(ProtectionDomain domain) {
      return domain != null
          && domain.getCodeSource() != null
          && domain.getCodeSource().getLocation().getPath().endsWith(TEST_CLASSES);
    }
  }
}
