package dev.ibishub.core;

/**
 * Reply of a rank to one {@link GroupCommand}.
 *
 * @param group the group's name
 * @param incarnation the highest group incarnation that the rank has acknowledged
 * @param rank the rank's number, from 0
 * @param epoch the epoch of the command
 * @param sequence the sequence number of the command
 * @param kind the kind of the command
 * @param code {@code OK}, or why the command was refused
 * @param highestEpoch the highest epoch that the rank has promised
 * @param status the rank's state; its committed map is the last commit that the rank must still
 *     report
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
