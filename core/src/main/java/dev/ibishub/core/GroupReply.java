package dev.ibishub.core;

/**
 * A rank's answer to one {@link GroupCommand}.
 *
 * @param group the group's name
 * @param incarnation the highest group incarnation that the rank has acknowledged
 * @param rank the rank's number
 * @param epoch the epoch of the command answered
 * @param sequence the sequence of the command answered
 * @param kind the kind of the command answered
 * @param code {@code OK}, or why the command was refused
 * @param highestEpoch the highest epoch promised
 * @param status the rank's state; its committed map is the last commit that the rank must report
 */
public record GroupReply(
    String group,
    long incarnation,
    int rank,
    long epoch,
    long sequence,
    GroupCommand.Kind kind,
    ResultCode code,
    long highestEpoch,
    RankStatus status) {}
