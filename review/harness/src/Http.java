import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
  /** A message: its first line, its headers with names in lower case, and its body. */
  static final class Message {
    String start;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private Http() {}

  static InputStream buffered(InputStream in) {
    return new BufferedInputStream(in, 16384);
  }

  /** Reads a line without its end; null at the end of the stream. */
  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      bytes.write(next);
      next = in.read();
    }
    if (next < 0) {
      throw new EOFException("within a line");
    }
    String line = bytes.toString(StandardCharsets.ISO_8859_1);
    return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
  }

  /** Reads a head; null if the stream ended before it. */
  static Message head(InputStream in) throws IOException {
    Message message = new Message();
    message.start = line(in);
    if (message.start == null) {
      return null;
    }
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      message.headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return message;
  }

  /** Reads a request with a length or in chunks; null if the stream ended before it. */
  static Message request(InputStream in) throws IOException {
    Message message = head(in);
    if (message == null) {
      return null;
    }
    if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      message.body = chunks(in);
    } else if (!message.header("content-length").isEmpty()) {
      int length = Integer.parseInt(message.header("content-length"));
      message.body = in.readNBytes(length);
      if (message.body.length < length) {
        throw new EOFException("within a body");
      }
    }
    return message;
  }

  private static byte[] chunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      byte[] chunk = chunk(in);
      if (chunk.length == 0) {
        return body.toByteArray();
      }
      body.write(chunk);
    }
  }

  /** Reads a chunk; empty for the last one. */
  static byte[] chunk(InputStream in) throws IOException {
    String size = line(in);
    if (size == null) {
      throw new EOFException("within chunks");
    }
    int length = Integer.parseInt(size.split(";")[0].strip(), 16);
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length || line(in) == null) {
      throw new EOFException("within a chunk");
    }
    return bytes;
  }

  /** Reads a response, with the body of a length or of chunks. */
  static Message response(InputStream in) throws IOException {
    return request(in);
  }
}
