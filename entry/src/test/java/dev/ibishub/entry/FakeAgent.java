package dev.ibishub.entry;

import com.google.protobuf.ByteString;
import dev.ibishub.core.ResultCode;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.generated.Chunk;
import dev.ibishub.wire.generated.Dispatch;
import dev.ibishub.wire.generated.End;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.TargetReport;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Fake agent at the other end of a link: records the frames that the entry sends, and sends frames
 * as a test tells it to.
 */
final class FakeAgent {
  private final TargetLinks links;
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final String target;
  final Link link;

  FakeAgent(TargetLinks links, String target, long incarnation) {
    this.links = links;
    this.target = target;
    this.link = Link.over(channel, new Link.Peer(target, "agent", "vake", incarnation));
  }

  /** Opens the link and reports the target as serving. */
  FakeAgent connect() {
    links.onOpen(link);
    send(
        Frame.newBuilder()
            .setTargetReport(
                TargetReport.newBuilder()
                    .setTarget(target)
                    .setZone("vake")
                    .setEngineReachable(true)
                    .setLimit(16)
                    .addServed("dictionary"))
            .build());
    return this;
  }

  void disconnect() {
    channel.close();
    links.onClose(link);
  }

  void chunk(String attemptId, long number, String text) {
    send(
        Frame.newBuilder()
            .setChunk(
                Chunk.newBuilder()
                    .setAttemptId(attemptId)
                    .setNumber(number)
                    .setData(ByteString.copyFromUtf8(text)))
            .build());
  }

  /** Ends an attempt with the checksum of its complete answer. */
  void finish(String attemptId, long chunks, String answer) {
    finish(attemptId, chunks, answer, 0);
  }

  /** Ends an attempt with the checksum of its complete answer and the status of a service. */
  void finish(String attemptId, long chunks, String answer, int httpStatus) {
    CRC32C checksum = new CRC32C();
    checksum.update(answer.getBytes(StandardCharsets.UTF_8));
    end(
        End.newBuilder()
            .setAttemptId(attemptId)
            .setChunkCount(chunks)
            .setChecksum((int) checksum.getValue())
            .setHttpStatus(httpStatus)
            .build());
  }

  void refuse(String attemptId, ResultCode code) {
    end(End.newBuilder().setAttemptId(attemptId).setResultCode(code.number()).build());
  }

  void end(End end) {
    send(Frame.newBuilder().setEnd(end).build());
  }

  List<Dispatch> dispatches() {
    return sent().stream().filter(Frame::hasDispatch).map(Frame::getDispatch).toList();
  }

  /** Returns the attempt id of the latest dispatch. */
  String latestAttemptId() {
    return dispatches().get(dispatches().size() - 1).getAttemptId();
  }

  List<Frame> sent() {
    return channel.outboundMessages().stream().map(Frame.class::cast).toList();
  }

  private void send(Frame frame) {
    links.onFrame(link, frame);
  }
}
