package dev.ibishub.core.ranks;

import java.util.List;

/**
 * Change that relieves the slowest rank of a layer set.
 *
 * @param relocations its parts, in any order
 */
record LayoutChange(List<Relocation> relocations) {

  /**
   * Relocation of an expert, or the addition or removal of a replica.
   *
   * @param expert the expert
   * @param from the rank that drops it, or {@link SetLayout#NONE} when a replica is added
   * @param to the rank that receives it, or {@link SetLayout#NONE} when a replica is removed
   */
  record Relocation(int expert, int from, int to) {}

  /** Applies the change. Removals come first, so that no rank exceeds its slots. */
  void apply(SetLayout layout) {
    relocations.stream()
        .filter(relocation -> relocation.from() != SetLayout.NONE)
        .forEach(relocation -> layout.drop(relocation.from(), relocation.expert()));
    relocations.stream()
        .filter(relocation -> relocation.to() != SetLayout.NONE)
        .forEach(relocation -> layout.add(relocation.to(), relocation.expert()));
  }
}
