package dev.ibishub.standins;

import dev.ibishub.core.ResultCode;
import dev.ibishub.engines.EngineOrder;
import dev.ibishub.engines.GenerationCall;
import dev.ibishub.engines.GenerationLine;
import dev.ibishub.engines.RankOrder;
import dev.ibishub.outbound.OutboundJson;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/** Serves the HTTP interface of one rank. Thread-safe. */
final class EngineStandIn {
  private static final String STREAMS = "/v1/streams/";

  private final EngineGroup group;
  private final int rank;
  private final EngineOptions options;
  private final FaultInjector faults;

  /** The answer to {@code GET /control/streams}: every stream id that ever started on this rank. */
  record StreamAudit(int count, Set<String> started) {}

  EngineStandIn(EngineGroup group, int rank, EngineOptions options, FaultInjector faults) {
    this.group = group;
    this.rank = rank;
    this.options = options;
    this.faults = faults;
  }

  StandInReply handle(StandInRequest request) throws IOException, InterruptedException {
    if (request.path().startsWith("/control/")) {
      return control(request);
    }
    if (request.path().startsWith(STREAMS)) {
      return stream(request, request.path().substring(STREAMS.length()));
    }
    return switch (request.method() + " " + request.path()) {
      case "POST /v1/generate" -> generate(request.json(GenerationCall.class));
      case "GET /v1/load" -> StandInReply.json(group.load(rank));
      case "GET /v1/cache-events" ->
          StandInReply.json(group.cacheEvents(rank, request.number("from", 0)));
      case "GET /v1/state" -> StandInReply.json(group.state(rank));
      case "POST /v1/orders" -> order(request.json(EngineOrder.class));
      case "GET /v1/rank" -> StandInReply.json(group.rankState(rank));
      case "POST /v1/rank/orders" ->
          StandInReply.json(group.orderRank(rank, request.json(RankOrder.class)));
      default -> StandInReply.refusal(ResultCode.NOT_FOUND, "no such path");
    };
  }

  private StandInReply control(StandInRequest request) {
    return switch (request.method() + " " + request.path()) {
      case "GET /control/streams" -> {
        Set<String> started = group.startedStreamIds(rank);
        yield StandInReply.json(new StreamAudit(started.size(), started));
      }
      case "GET /control/group" -> StandInReply.json(group.audit());
      case "POST /control/restart" -> {
        group.restart(rank);
        yield StandInReply.empty();
      }
      default -> StandInReply.refusal(ResultCode.NOT_FOUND, "no such path");
    };
  }

  private StandInReply generate(GenerationCall call) {
    GeneratedStream stream = group.generate(rank, call);
    return StandInReply.streamed(out -> write(stream, 0, out));
  }

  private StandInReply stream(StandInRequest request, String streamId) {
    if (request.method().equals("DELETE")) {
      group.cancel(rank, streamId);
      return StandInReply.empty();
    }
    GeneratedStream stream = group.find(rank, streamId);
    long from = request.number("from", 0);
    return StandInReply.streamed(out -> write(stream, from, out));
  }

  private StandInReply order(EngineOrder order) throws InterruptedException {
    Thread.sleep(options.orderMillis());
    return StandInReply.json(group.order(rank, order));
  }

  private void write(GeneratedStream stream, long from, OutputStream out)
      throws IOException, InterruptedException {
    OptionalInt cutAfter = faults.consumeStreamCut();
    try {
      long number = from;
      Optional<String> piece = stream.awaitPiece(number);
      while (piece.isPresent()) {
        if (cutAfter.isPresent() && number - from >= cutAfter.getAsInt()) {
          throw new IOException("connection cut by an injected fault");
        }
        writeLine(out, new GenerationLine(number, piece.get(), null));
        number++;
        piece = stream.awaitPiece(number);
      }
      writeLine(out, new GenerationLine(null, null, stream.end().orElseThrow()));
    } catch (IOException e) {
      if (!options.resumes()) {
        stream.cancel();
      }
      throw e;
    }
  }

  private static void writeLine(OutputStream out, GenerationLine line) throws IOException {
    byte[] json = OutboundJson.write(line);
    byte[] bytes = new byte[json.length + 1];
    System.arraycopy(json, 0, bytes, 0, json.length);
    bytes[json.length] = '\n';
    out.write(bytes);
    out.flush();
  }
}
