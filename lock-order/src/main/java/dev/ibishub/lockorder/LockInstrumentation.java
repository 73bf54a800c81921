package dev.ibishub.lockorder;

import java.util.List;
import java.util.Map;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.ClassWriter;
import org.objectweb.asm.Label;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;

/** Adds calls of {@link LockOrder} to a class wherever its code takes or releases a lock. */
final class LockInstrumentation extends ClassVisitor {
  private static final String RECORDER = Type.getInternalName(LockOrder.class);

  /** Marks the renamed body of a synchronized method. */
  private static final String BODY_SUFFIX = "$synchronized";

  private static final List<String> MAPS =
      List.of(
          "java/util/Map",
          "java/util/concurrent/ConcurrentMap",
          "java/util/concurrent/ConcurrentHashMap");

  /** The methods that run a function under a lock, by their parameters after the map. */
  private static final Map<String, String> LOCKING_CALLS =
      Map.of(
          "computeIfAbsent", "Ljava/lang/Object;Ljava/util/function/Function;",
          "computeIfPresent", "Ljava/lang/Object;Ljava/util/function/BiFunction;",
          "compute", "Ljava/lang/Object;Ljava/util/function/BiFunction;",
          "merge", "Ljava/lang/Object;Ljava/lang/Object;Ljava/util/function/BiFunction;");

  private String owner;
  private boolean isInterface;

  private LockInstrumentation(ClassVisitor next) {
    super(Opcodes.ASM9, next);
  }

  /** Returns the class file with the calls. */
  static byte[] instrument(byte[] classFile) {
    ClassReader reader = new ClassReader(classFile);
    ClassWriter writer = new ClassWriter(reader, ClassWriter.COMPUTE_MAXS);
    reader.accept(new LockInstrumentation(writer), 0);
    return writer.toByteArray();
  }

  @Override
  public void visit(
      int version,
      int access,
      String name,
      String signature,
      String superName,
      String[] interfaces) {
    owner = name;
    isInterface = (access & Opcodes.ACC_INTERFACE) != 0;
    super.visit(version, access, name, signature, superName, interfaces);
  }

  @Override
  public MethodVisitor visitMethod(
      int access, String name, String descriptor, String signature, String[] exceptions) {
    if ((access & Opcodes.ACC_SYNCHRONIZED) == 0) {
      return new Calls(super.visitMethod(access, name, descriptor, signature, exceptions));
    }
    int bodyAccess =
        (access & ~(Opcodes.ACC_PUBLIC | Opcodes.ACC_PROTECTED | Opcodes.ACC_FINAL))
            | Opcodes.ACC_PRIVATE
            | Opcodes.ACC_SYNTHETIC;
    MethodVisitor wrapper =
        super.visitMethod(
            access & ~Opcodes.ACC_SYNCHRONIZED, name, descriptor, signature, exceptions);
    return new SynchronizedMethod(
        super.visitMethod(bodyAccess, name + BODY_SUFFIX, descriptor, null, exceptions),
        wrapper,
        (access & Opcodes.ACC_STATIC) != 0,
        name + BODY_SUFFIX,
        descriptor);
  }

  private String taker() {
    return owner.replace('/', '.');
  }

  /** Adds calls around monitors, and replaces those of concurrent maps that hold a lock. */
  private class Calls extends MethodVisitor {
    Calls(MethodVisitor next) {
      super(Opcodes.ASM9, next);
    }

    @Override
    public void visitInsn(int opcode) {
      if (opcode == Opcodes.MONITORENTER) {
        super.visitInsn(Opcodes.DUP);
        recordEnter(this);
      } else if (opcode == Opcodes.MONITOREXIT) {
        super.visitInsn(Opcodes.DUP);
        recordExit(this);
      }
      super.visitInsn(opcode);
    }

    @Override
    public void visitMethodInsn(
        int opcode, String target, String name, String descriptor, boolean isOfInterface) {
      String parameters = LOCKING_CALLS.get(name);
      boolean isLocking =
          parameters != null
              && opcode != Opcodes.INVOKESTATIC
              && MAPS.contains(target)
              && descriptor.equals("(" + parameters + ")Ljava/lang/Object;");
      if (!isLocking) {
        super.visitMethodInsn(opcode, target, name, descriptor, isOfInterface);
        return;
      }
      super.visitLdcInsn(taker());
      super.visitMethodInsn(
          Opcodes.INVOKESTATIC,
          RECORDER,
          name,
          "(Ljava/util/Map;" + parameters + "Ljava/lang/String;)Ljava/lang/Object;",
          false);
    }
  }

  private void recordEnter(MethodVisitor method) {
    method.visitLdcInsn(taker());
    method.visitMethodInsn(
        Opcodes.INVOKESTATIC,
        RECORDER,
        "beforeEnter",
        "(Ljava/lang/Object;Ljava/lang/String;)V",
        false);
  }

  private static void recordExit(MethodVisitor method) {
    method.visitMethodInsn(
        Opcodes.INVOKESTATIC, RECORDER, "afterExit", "(Ljava/lang/Object;)V", false);
  }

  /**
   * The body of a synchronized method, which keeps its modifier under another name; a method of the
   * old name records the lock before it calls that.
   */
  private final class SynchronizedMethod extends Calls {
    private final MethodVisitor wrapper;
    private final boolean isStatic;
    private final String bodyName;
    private final String descriptor;

    SynchronizedMethod(
        MethodVisitor body,
        MethodVisitor wrapper,
        boolean isStatic,
        String bodyName,
        String descriptor) {
      super(body);
      this.wrapper = wrapper;
      this.isStatic = isStatic;
      this.bodyName = bodyName;
      this.descriptor = descriptor;
    }

    @Override
    public void visitEnd() {
      super.visitEnd();
      Label start = new Label();
      Label end = new Label();
      Label handler = new Label();
      wrapper.visitCode();
      wrapper.visitTryCatchBlock(start, end, handler, null);
      pushLock();
      recordEnter(wrapper);
      wrapper.visitLabel(start);
      callBody();
      wrapper.visitLabel(end);
      pushLock();
      recordExit(wrapper);
      wrapper.visitInsn(Type.getReturnType(descriptor).getOpcode(Opcodes.IRETURN));
      wrapper.visitLabel(handler);
      wrapper.visitFrame(Opcodes.F_SAME1, 0, null, 1, new Object[] {"java/lang/Throwable"});
      pushLock();
      recordExit(wrapper);
      wrapper.visitInsn(Opcodes.ATHROW);
      wrapper.visitMaxs(0, 0);
      wrapper.visitEnd();
    }

    private void pushLock() {
      if (isStatic) {
        wrapper.visitLdcInsn(Type.getObjectType(owner));
      } else {
        wrapper.visitVarInsn(Opcodes.ALOAD, 0);
      }
    }

    private void callBody() {
      int slot = 0;
      if (!isStatic) {
        wrapper.visitVarInsn(Opcodes.ALOAD, slot);
        slot++;
      }
      for (Type parameter : Type.getArgumentTypes(descriptor)) {
        wrapper.visitVarInsn(parameter.getOpcode(Opcodes.ILOAD), slot);
        slot += parameter.getSize();
      }
      wrapper.visitMethodInsn(
          isStatic ? Opcodes.INVOKESTATIC : Opcodes.INVOKESPECIAL,
          owner,
          bodyName,
          descriptor,
          isInterface);
    }
  }
}
