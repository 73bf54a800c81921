package dev.ibishub.core.ranks;

import java.util.OptionalLong;

/**
 * State of a rank as it last reported it on the platform of ibishub's users; {@code
 * dev.ibishub.core.RankStatus} is its counterpart behind ibishub's own interface.
 *
 * @param epoch the group's epoch
 * @param isOpen whether the group accepts requests
 * @param step the last step that began
 * @param mapVersion version of the map in use
 * @param preparedVersion version of the map whose experts are all loaded, 0 for none
 * @param armedVersion version of the map that the rank will switch to, 0 for none
 * @param armedStep the step at which it will switch
 * @param heldStep the step that must not begin, empty for none
 * @param at when the report was received, milliseconds
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
