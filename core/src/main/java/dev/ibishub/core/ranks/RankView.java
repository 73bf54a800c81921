package dev.ibishub.core.ranks;

import java.util.OptionalLong;

/**
 * What a rank said of itself.
 *
 * @param epoch the group's epoch
 * @param isOpen whether the group works
 * @param step the last step that began
 * @param mapVersion the map in use
 * @param preparedVersion the map whose experts are all there, 0 for none
 * @param armedVersion the map that it will switch to, 0 for none
 * @param armedStep the step at which it will
 * @param heldStep the step that may not begin
 * @param at when this was heard
 */
public record RankView(
    long epoch,
    boolean isOpen,
    long step,
    long mapVersion,
    long preparedVersion,
    long armedVersion,
    long armedStep,
    OptionalLong heldStep,
    long at) {}
