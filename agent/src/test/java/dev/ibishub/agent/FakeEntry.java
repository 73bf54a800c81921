package dev.ibishub.agent;

import dev.ibishub.wire.Link;
import dev.ibishub.wire.generated.Chunk;
import dev.ibishub.wire.generated.Dispatch;
import dev.ibishub.wire.generated.End;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.ModelCall;
import dev.ibishub.wire.generated.RevokeReply;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Instant;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

/** Entry side of a link that records every frame the agent sends. */
final class FakeEntry {
  private final EmbeddedChannel channel = new EmbeddedChannel();
  final Link link;

  FakeEntry(String id) {
    this.link = Link.over(channel, new Link.Peer(id, "entry", "vake", 1));
  }

  static Dispatch dispatch(String attemptId, Instant deadline, int credit) {
    return Dispatch.newBuilder()
        .setAttemptId(attemptId)
        .setRequestId("request")
        .setWorkspace("publisher")
        .setWeight(1)
        .setEstimatedTokens(10)
        .setDeadlineMillis(deadline.toEpochMilli())
        .setCredit(credit)
        .setModelCall(ModelCall.getDefaultInstance())
        .build();
  }

  List<Chunk> chunks() {
    return received(Frame::hasChunk, Frame::getChunk);
  }

  List<End> ends() {
    return received(Frame::hasEnd, Frame::getEnd);
  }

  List<RevokeReply> revokeReplies() {
    return received(Frame::hasRevokeReply, Frame::getRevokeReply);
  }

  private <T> List<T> received(Predicate<Frame> kind, Function<Frame, T> part) {
    return channel.outboundMessages().stream()
        .map(Frame.class::cast)
        .filter(kind)
        .map(part)
        .toList();
  }
}
