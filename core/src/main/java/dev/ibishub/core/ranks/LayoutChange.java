package dev.ibishub.core.ranks;

import java.util.List;

/**
 * A change that relieves the slowest rank of a set.
 *
 * @param relocations its parts, in any order
 */
record LayoutChange(List<Relocation> relocations) {

  /**
   * An expert that is held elsewhere.
   *
   * @param expert the expert
   * @param from the rank that gives it up, or {@link SetLayout#NONE} where a copy is added
   * @param to the rank that takes it, or {@link SetLayout#NONE} where a copy is given up
   */
  record Relocation(int expert, int from, int to) {}

  /** Carries the change out; what is given up goes first, so that no rank holds too many. */
  void apply(SetLayout layout) {
    relocations.stream()
        .filter(each -> each.from() != SetLayout.NONE)
        .forEach(each -> layout.giveUp(each.from(), each.expert()));
    relocations.stream()
        .filter(each -> each.to() != SetLayout.NONE)
        .forEach(each -> layout.take(each.to(), each.expert()));
  }
}
