package dev.ibishub.lockorder;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class LockCyclesTest {
  private static LockPair pair(String outer, String inner) {
    return new LockPair(outer, inner);
  }

  private static List<List<LockPair>> cycles(LockPair... pairs) {
    return new LockCycles(List.of(pairs)).find();
  }

  // Guards against a check that rejects locks which are always taken in one order.
  @Test
  void oneOrderHasNoCycle() {
    assertThat(cycles(pair("a", "b"), pair("b", "c"), pair("a", "c"), pair("d", "c"))).isEmpty();
  }

  // Guards against a deadlock of two threads that nobody is told of.
  @Test
  void bothOrdersOfTwoLocksAreCycle() {
    assertThat(cycles(pair("a", "b"), pair("b", "a"), pair("b", "c")))
        .containsExactly(List.of(pair("a", "b"), pair("b", "a")));
  }

  // Guards against a deadlock of three threads, none of which takes two locks in both orders.
  @Test
  void longerCycleIsFoundOnce() {
    assertThat(cycles(pair("a", "b"), pair("b", "c"), pair("c", "a"), pair("x", "a")))
        .containsExactly(List.of(pair("a", "b"), pair("b", "c"), pair("c", "a")));
  }

  // Guards against two objects of one class that each lock the other.
  @Test
  void twoInstancesOfOneClassAreCycle() {
    assertThat(cycles(pair("a", "a"))).containsExactly(List.of(pair("a", "a")));
  }
}
