package dev.ibishub.lockorder;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * The locks that each thread holds, and each pair of locks of which one was taken while the other
 * was held. A lock is known by the class of its object, or where that isn't one of ours, by the
 * class that takes it. Called by instrumented code. Thread-safe.
 */
public final class LockOrder {
  private static final String OWN_CLASSES = "dev.ibishub.";
  private static final int RECORDED_FRAMES = 16;

  private static final ThreadLocal<Deque<HeldLock>> HELD = ThreadLocal.withInitial(ArrayDeque::new);
  private static final Set<LockPair> PAIRS = ConcurrentHashMap.newKeySet();
  private static volatile Path file;

  private LockOrder() {}

  private record HeldLock(Object lock, String name) {}

  /** Sets where new pairs are written to; until then none is recorded. */
  static void writeTo(Path target) {
    file = target;
  }

  /** Forgets all pairs and records no more. */
  static void reset() {
    file = null;
    PAIRS.clear();
  }

  /**
   * Takes in that this thread is about to enter a monitor.
   *
   * @param taker the name of the class whose code does so
   */
  public static void beforeEnter(Object lock, String taker) {
    if (lock == null) {
      return;
    }
    Deque<HeldLock> held = HELD.get();
    String name = name(lock, taker);
    boolean isReentrant = held.stream().anyMatch(each -> each.lock() == lock);
    if (!isReentrant) {
      held.forEach(outer -> record(new LockPair(outer.name(), name)));
    }
    held.push(new HeldLock(lock, name));
  }

  /** Takes in that this thread leaves a monitor. */
  public static void afterExit(Object lock) {
    Deque<HeldLock> held = HELD.get();
    held.stream()
        .filter(each -> each.lock() == lock)
        .findFirst()
        .ifPresent(held::removeFirstOccurrence);
  }

  /** As {@link Map#computeIfAbsent}; one of a concurrent map runs the function under a lock. */
  public static Object computeIfAbsent(
      Map<Object, Object> map, Object key, Function<Object, Object> function, String taker) {
    return lockedIfConcurrent(map, taker, () -> map.computeIfAbsent(key, function));
  }

  /** As {@link Map#computeIfPresent}; one of a concurrent map runs the function under a lock. */
  public static Object computeIfPresent(
      Map<Object, Object> map,
      Object key,
      BiFunction<Object, Object, Object> function,
      String taker) {
    return lockedIfConcurrent(map, taker, () -> map.computeIfPresent(key, function));
  }

  /** As {@link Map#compute}; one of a concurrent map runs the function under a lock. */
  public static Object compute(
      Map<Object, Object> map,
      Object key,
      BiFunction<Object, Object, Object> function,
      String taker) {
    return lockedIfConcurrent(map, taker, () -> map.compute(key, function));
  }

  /** As {@link Map#merge}; one of a concurrent map runs the function under a lock. */
  public static Object merge(
      Map<Object, Object> map,
      Object key,
      Object value,
      BiFunction<Object, Object, Object> function,
      String taker) {
    return lockedIfConcurrent(map, taker, () -> map.merge(key, value, function));
  }

  private static Object lockedIfConcurrent(Object map, String taker, Supplier<Object> call) {
    if (!(map instanceof ConcurrentHashMap)) {
      return call.get();
    }
    beforeEnter(map, taker);
    try {
      return call.get();
    } finally {
      afterExit(map);
    }
  }

  private static String name(Object lock, String taker) {
    Class<?> type = lock instanceof Class<?> locked ? locked : lock.getClass();
    return type.getName().startsWith(OWN_CLASSES)
        ? type.getName()
        : taker + ":" + type.getSimpleName();
  }

  private static void record(LockPair pair) {
    if (file == null || !PAIRS.add(pair)) {
      return;
    }
    String frames =
        Arrays.stream(new Throwable().getStackTrace())
            .filter(frame -> !frame.getClassName().startsWith(LockOrder.class.getName()))
            .limit(RECORDED_FRAMES)
            .map(frame -> frame.getClassName() + "." + frame.getMethodName())
            .collect(Collectors.joining(" < "));
    RecordedPair recorded = new RecordedPair(pair, Thread.currentThread().getName(), frames);
    try {
      // Processes under test may be killed, so no pair waits for an orderly end.
      Files.writeString(
          file,
          recorded.line(),
          StandardCharsets.UTF_8,
          StandardOpenOption.CREATE,
          StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
