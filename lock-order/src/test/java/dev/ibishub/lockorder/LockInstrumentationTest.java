package dev.ibishub.lockorder;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.InvocationTargetException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class LockInstrumentationTest {
  private static final String SHELF = Shelf.class.getName();
  private static final String BOX = Box.class.getName();

  @TempDir private Path folder;

  /** Takes its own lock in each of the ways that a class can. */
  public static class Shelf {
    private final Object plainLock = new Object();
    private final ConcurrentHashMap<String, Integer> sizes = new ConcurrentHashMap<>();

    public synchronized int lockedMethod(Box box, int added) {
      return box.lockedBlock(added);
    }

    public static synchronized void lockedClass(Box box) {
      box.lockedBlock(0);
    }

    public int plainObject(Box box) {
      synchronized (plainLock) {
        return box.lockedBlock(0);
      }
    }

    public synchronized int failing(Box box) {
      throw new IllegalStateException(String.valueOf(box.lockedBlock(0)));
    }

    public int concurrentMap(Box box) {
      return sizes.computeIfAbsent("key", key -> box.lockedBlock(0));
    }

    public synchronized void reentrant() {
      lockedAgain();
    }

    private synchronized void lockedAgain() {}
  }

  public static class Box {
    private int size;

    public int lockedBlock(int added) {
      synchronized (this) {
        size += added;
        return size;
      }
    }

    public synchronized int lockedMethod(Shelf shelf) {
      return shelf.lockedMethod(this, 1);
    }
  }

  /** Loads the classes above with the recorder's calls in them. */
  private static final class InstrumentingLoader extends ClassLoader {
    InstrumentingLoader() {
      super(LockInstrumentationTest.class.getClassLoader());
    }

    @Override
    public Class<?> loadClass(String name) throws ClassNotFoundException {
      return Set.of(SHELF, BOX).contains(name) ? defined(name) : super.loadClass(name);
    }

    private Class<?> defined(String name) throws ClassNotFoundException {
      Class<?> known = findLoadedClass(name);
      if (known != null) {
        return known;
      }
      try (InputStream in = getResourceAsStream(name.replace('.', '/') + ".class")) {
        byte[] changed = LockInstrumentation.instrument(in.readAllBytes());
        return defineClass(name, changed, 0, changed.length);
      } catch (IOException e) {
        throw new ClassNotFoundException(name, e);
      }
    }
  }

  private final InstrumentingLoader loader = new InstrumentingLoader();
  private Object shelf;
  private Object box;

  @BeforeEach
  void record() throws ReflectiveOperationException {
    LockOrder.writeTo(folder.resolve("1.txt"));
    shelf = loader.loadClass(SHELF).getConstructor().newInstance();
    box = loader.loadClass(BOX).getConstructor().newInstance();
  }

  @AfterEach
  void stopRecording() {
    LockOrder.reset();
  }

  private Object call(Object target, String method, Object... arguments)
      throws ReflectiveOperationException {
    Class<?>[] types = Arrays.stream(arguments).map(this::type).toArray(Class[]::new);
    return target.getClass().getMethod(method, types).invoke(target, arguments);
  }

  private Class<?> type(Object argument) {
    return argument instanceof Integer ? int.class : argument.getClass();
  }

  private Set<LockPair> recorded() throws IOException {
    return Files.exists(folder.resolve("1.txt")) ? LockOrderCheck.read(folder).keySet() : Set.of();
  }

  @Test
  void eachWayToTakeLockIsRecorded() throws Exception {
    assertThat(call(shelf, "lockedMethod", box, 3)).isEqualTo(3);
    assertThat(recorded()).containsExactly(new LockPair(SHELF, BOX));

    call(shelf, "plainObject", box);
    call(shelf, "concurrentMap", box);
    assertThat(recorded())
        .containsExactlyInAnyOrder(
            new LockPair(SHELF, BOX),
            new LockPair(SHELF + ":Object", BOX),
            new LockPair(SHELF + ":ConcurrentHashMap", BOX));
  }

  // Guards against a class whose lock counts as free in its static methods.
  @Test
  void lockOfClassIsRecorded() throws Exception {
    call(shelf, "lockedClass", box);

    assertThat(recorded()).containsExactly(new LockPair(SHELF, BOX));
  }

  // Guards against locks that count as held for ever once a method has thrown.
  @Test
  void lockIsReleasedByException() throws Exception {
    assertThatThrownBy(() -> call(shelf, "failing", box))
        .isInstanceOf(InvocationTargetException.class)
        .hasCauseInstanceOf(IllegalStateException.class);
    assertThat(call(box, "lockedBlock", 1)).isEqualTo(1);
    assertThat(recorded()).containsExactly(new LockPair(SHELF, BOX));

    call(shelf, "reentrant");
    assertThat(recorded()).containsExactly(new LockPair(SHELF, BOX));
  }

  // Guards against a check that misses a deadlock because the two orders did not meet.
  @Test
  void cycleIsFoundThoughOneThreadTookBothOrders() throws Exception {
    call(shelf, "lockedMethod", box, 1);
    call(box, "lockedMethod", shelf);

    assertThat(new LockCycles(recorded()).find()).hasSize(1);
  }
}
