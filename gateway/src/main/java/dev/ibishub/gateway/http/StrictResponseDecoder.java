package dev.ibishub.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * Response decoder that accepts only what RFC 9112 and RFC 9110 define as a response, where Netty's
 * decoder guesses: it takes any number for a status, and ends a field name at the first blank, so
 * that {@code Content Length} is no length and {@code X Y: 1} becomes {@code X: 1}. Interim
 * responses and trailers are checked, too. A message that is refused is the last one, and its
 * {@link HttpMessage#decoderResult} is a failure. Not thread-safe.
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {
  private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  /** Status 101 is refused, as no request asks for another protocol. */
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[0-9] (1(?!01)|[2-5])[0-9]{2}( [\\t -~\\x80-\\xff]*)?\\r\\n");

  private static final BitSet TOKEN_CHARACTERS = new BitSet();

  static {
    "!#$%&'*+-.^_`|~".chars().forEach(TOKEN_CHARACTERS::set);
    TOKEN_CHARACTERS.set('0', '9' + 1);
    TOKEN_CHARACTERS.set('A', 'Z' + 1);
    TOKEN_CHARACTERS.set('a', 'z' + 1);
  }

  private final boolean isHeadRequest;
  private boolean isAtStart = true;
  private boolean isInHead = true;
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
    List<Object> decoded = out.subList(messages, out.size());
    Optional<String> fault =
        isInHead ? faultInHead(in, from).or(() -> faultInFraming(decoded)) : Optional.empty();
    if (fault.isPresent()) {
      decoded.clear();
      refuse(in, out, fault.get());
      return;
    }
    isAtStart &= in.readerIndex() == from;
    decoded.forEach(this::onDecoded);
  }

  private static boolean mayBeginResponse(ByteBuf in) {
    return IntStream.range(0, Math.min(START.length, in.readableBytes()))
        .allMatch(at -> in.getByte(in.readerIndex() + at) == START[at]);
  }

  /** Returns what is wrong with the lines of a head that were just read, without field names. */
  private Optional<String> faultInHead(ByteBuf in, int from) {
    if (isAtStart && in.readerIndex() > from && !hasStatusLine(in, from)) {
      return Optional.of("expected a status line with a status from 100 to 599, except 101");
    }
    return hasFoldedLine(in, from)
        ? Optional.of("expected a field name at the start of a line, found a blank")
        : Optional.empty();
  }

  /** Returns what is wrong with the transfer codings, of which only chunks are decoded. */
  private static Optional<String> faultInFraming(List<Object> decoded) {
    return decoded.stream()
        .filter(HttpResponse.class::isInstance)
        .map(HttpResponse.class::cast)
        .flatMap(response -> response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream())
        .filter(coding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding))
        .map(coding -> "expected chunks as the only transfer coding, found " + coding)
        .findFirst();
  }

  private static boolean hasStatusLine(ByteBuf in, int from) {
    int end = in.indexOf(from, in.readerIndex(), (byte) '\n') + 1;
    String line = in.toString(from, Math.max(0, end - from), StandardCharsets.ISO_8859_1);
    return STATUS_LINE.matcher(line).matches();
  }

  /**
   * Whether a line continues the one before it. Some readers take it for a field of its own, and a
   * proxy may refuse the response (RFC 9112, section 5.2).
   */
  private static boolean hasFoldedLine(ByteBuf in, int from) {
    return IntStream.range(from, in.readerIndex())
        .filter(at -> at == from || in.getByte(at - 1) == '\n')
        .anyMatch(at -> in.getByte(at) == ' ' || in.getByte(at) == '\t');
  }

  private void refuse(ByteBuf in, List<Object> out, String fault) {
    isRefused = true;
    in.skipBytes(in.readableBytes());
    HttpMessage refused = createInvalidMessage();
    refused.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(fault)));
    out.add(refused);
  }

  private void onDecoded(Object message) {
    if (message instanceof HttpResponse) {
      isInHead = false;
    }
    if (message instanceof LastHttpContent) {
      isInHead = true;
      isAtStart = true;
    }
  }

  /** Checks a field name of a head or a trailer; it ends at the first blank or colon. */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    boolean isToken =
        length > 0
            && IntStream.range(start, start + length)
                .allMatch(at -> TOKEN_CHARACTERS.get(Byte.toUnsignedInt(line[at])));
    if (!isToken || line[start + length] != ':') {
      throw new IllegalArgumentException(
          "expected a field name and a colon, found "
              + new String(line, start, length + 1, StandardCharsets.ISO_8859_1));
    }
    return super.splitHeaderName(line, start, length);
  }
}
