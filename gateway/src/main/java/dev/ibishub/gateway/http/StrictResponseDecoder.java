package dev.ibishub.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * Response decoder that accepts only what RFC 9112 and RFC 9110 define as a response, where Netty's
 * decoder takes any number for a status. Interim responses are checked, too. A message that is
 * refused is the last one, and its {@link HttpMessage#decoderResult} is a failure. Not thread-safe.
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {
  private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  /** Status 101 is refused, as no request asks for another protocol. */
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[0-9] (1(?!01)|[2-5])[0-9]{2}( [\\t -~\\x80-\\xff]*)?\\r\\n");

  private final boolean isHeadRequest;
  private boolean isAtStart = true;
  private boolean isRefused;

  /**
   * Creates a decoder for the responses on one connection.
   *
   * @param isHeadRequest whether they respond to HEAD requests, and so have no body whatever their
   *     length header says
   */
  public StrictResponseDecoder(HttpDecoderConfig configuration, boolean isHeadRequest) {
    super(configuration);
    this.isHeadRequest = isHeadRequest;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return isHeadRequest || super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (isRefused) {
      in.skipBytes(in.readableBytes());
      return;
    }
    if (isAtStart && !mayBeginResponse(in)) {
      refuse(in, out, "expected HTTP/1 at the start of a response");
      return;
    }
    int from = in.readerIndex();
    int messages = out.size();
    super.decode(context, in, out);
    if (isAtStart && in.readerIndex() > from && !hasStatusLine(in, from)) {
      out.subList(messages, out.size()).clear();
      refuse(in, out, "expected a status line with a status from 100 to 599, except 101");
      return;
    }
    isAtStart &= in.readerIndex() == from;
    out.subList(messages, out.size()).forEach(this::onDecoded);
  }

  private static boolean mayBeginResponse(ByteBuf in) {
    return IntStream.range(0, Math.min(START.length, in.readableBytes()))
        .allMatch(at -> in.getByte(in.readerIndex() + at) == START[at]);
  }

  private static boolean hasStatusLine(ByteBuf in, int from) {
    int end = in.indexOf(from, in.readerIndex(), (byte) '\n') + 1;
    String line = in.toString(from, Math.max(0, end - from), StandardCharsets.ISO_8859_1);
    return STATUS_LINE.matcher(line).matches();
  }

  private void refuse(ByteBuf in, List<Object> out, String fault) {
    isRefused = true;
    in.skipBytes(in.readableBytes());
    HttpMessage refused = createInvalidMessage();
    refused.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(fault)));
    out.add(refused);
  }

  private void onDecoded(Object message) {
    isAtStart |= message instanceof LastHttpContent;
  }
}
