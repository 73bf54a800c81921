package dev.ibishub.gateway.experts;

import dev.ibishub.wire.generated.ExpertList;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.GroupPlace;
import dev.ibishub.wire.generated.RankMapReport;
import dev.ibishub.wire.generated.RankOrderCall;
import dev.ibishub.wire.generated.RankOrderKind;
import dev.ibishub.wire.generated.RankOrderReply;
import dev.ibishub.wire.generated.RankOrderResult;
import dev.ibishub.wire.generated.RankPicks;
import dev.ibishub.wire.generated.RankReport;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;

/** Converts what entries and agents report and order about ranks to and from wire messages. */
final class RankMessages {
  private RankMessages() {}

  static Frame report(RankState state) {
    RankReport.Builder report =
        RankReport.newBuilder()
            .setRequests(state.requests())
            .setWaiting(state.waiting())
            .setPace(state.slowdown());
    state.membership().ifPresent(membership -> report.setPlace(place(membership)));
    return Frame.newBuilder().setRankReport(report).build();
  }

  private static GroupPlace place(RankState.Membership membership) {
    GroupPlace.Builder place =
        GroupPlace.newBuilder()
            .setGroup(membership.group())
            .setEpoch(membership.epoch())
            .setRank(membership.rank())
            .setSize(membership.size())
            .setOpen(membership.isOpen())
            .setStep(membership.step())
            .setMapVersion(membership.mapVersion())
            .setPreparedVersion(membership.preparedVersion())
            .setArmedVersion(membership.armedVersion())
            .setArmedStep(membership.armedStep());
    membership.heldStep().ifPresent(place::setHeldStep);
    return place.build();
  }

  static RankState state(RankReport report) {
    return new RankState(
        report.getRequests(),
        report.getWaiting(),
        report.getPace(),
        report.hasPlace() ? Optional.of(membership(report.getPlace())) : Optional.empty());
  }

  private static RankState.Membership membership(GroupPlace place) {
    return new RankState.Membership(
        place.getGroup(),
        place.getEpoch(),
        place.getRank(),
        place.getSize(),
        place.getOpen(),
        place.getStep(),
        place.getMapVersion(),
        place.getPreparedVersion(),
        place.getArmedVersion(),
        place.getArmedStep(),
        place.hasHeldStep() ? OptionalLong.of(place.getHeldStep()) : OptionalLong.empty());
  }

  static Frame picks(RankEngine.Picks picks) {
    RankPicks.Builder message = RankPicks.newBuilder().setEpoch(picks.epoch());
    Arrays.stream(picks.counts()).forEach(message::addCounts);
    return Frame.newBuilder().setRankPicks(message).build();
  }

  static RankEngine.Picks picks(RankPicks message) {
    return new RankEngine.Picks(
        message.getEpoch(),
        IntStream.range(0, message.getCountsCount()).mapToLong(message::getCounts).toArray());
  }

  static Frame map(RankEngine.HeldMap map) {
    RankMapReport.Builder message =
        RankMapReport.newBuilder().setEpoch(map.epoch()).setVersion(map.version());
    Arrays.stream(map.experts()).map(RankMessages::expertList).forEach(message::addSets);
    return Frame.newBuilder().setRankMapReport(message).build();
  }

  static RankEngine.HeldMap map(RankMapReport message) {
    return new RankEngine.HeldMap(
        message.getEpoch(),
        message.getVersion(),
        message.getSetsList().stream().map(RankMessages::expertArray).toArray(int[][]::new));
  }

  static Frame order(long callId, RankOrder order) {
    RankOrderCall.Builder call =
        RankOrderCall.newBuilder()
            .setCallId(callId)
            .setTarget(order.targetId())
            .setKind(RankOrderKind.valueOf("RANK_ORDER_KIND_" + order.kind().name()))
            .setVersion(order.version())
            .setStep(order.step())
            .setEpoch(order.epoch())
            .setFencingToken(order.fencingToken());
    order
        .map()
        .ifPresent(
            map -> {
              call.setRanks(map[0].length);
              Arrays.stream(map)
                  .flatMap(Arrays::stream)
                  .map(RankMessages::expertList)
                  .forEach(call::addMap);
            });
    return Frame.newBuilder().setRankOrderCall(call).build();
  }

  static RankOrder order(RankOrderCall call) {
    String name = call.getKind().name().substring("RANK_ORDER_KIND_".length());
    return new RankOrder(
        call.getTarget(),
        RankOrder.Kind.valueOf(name),
        call.getVersion(),
        call.getStep(),
        call.getEpoch(),
        call.getFencingToken(),
        call.getRanks() == 0 ? Optional.empty() : Optional.of(fullMap(call)));
  }

  private static int[][][] fullMap(RankOrderCall call) {
    List<ExpertList> rows = call.getMapList();
    int ranks = call.getRanks();
    return IntStream.range(0, rows.size() / ranks)
        .mapToObj(
            set ->
                rows.subList(set * ranks, (set + 1) * ranks).stream()
                    .map(RankMessages::expertArray)
                    .toArray(int[][]::new))
        .toArray(int[][][]::new);
  }

  static Frame reply(long callId, RankOrder.Result result) {
    return Frame.newBuilder()
        .setRankOrderReply(
            RankOrderReply.newBuilder()
                .setCallId(callId)
                .setResult(RankOrderResult.valueOf("RANK_ORDER_RESULT_" + result.name())))
        .build();
  }

  static RankOrder.Result result(RankOrderReply reply) {
    return switch (reply.getResult()) {
      case RANK_ORDER_RESULT_DONE -> RankOrder.Result.DONE;
      case RANK_ORDER_RESULT_CONFLICT -> RankOrder.Result.CONFLICT;
      case RANK_ORDER_RESULT_FENCED -> RankOrder.Result.FENCED;
      default -> RankOrder.Result.UNKNOWN;
    };
  }

  private static ExpertList expertList(int[] experts) {
    ExpertList.Builder expertList = ExpertList.newBuilder();
    Arrays.stream(experts).forEach(expertList::addExperts);
    return expertList.build();
  }

  private static int[] expertArray(ExpertList expertList) {
    return IntStream.range(0, expertList.getExpertsCount()).map(expertList::getExperts).toArray();
  }
}
