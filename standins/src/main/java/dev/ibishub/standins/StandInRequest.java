package dev.ibishub.standins;

import com.sun.net.httpserver.Headers;
import dev.ibishub.outbound.OutboundJson;
import java.io.IOException;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/** An HTTP request to a stand-in, with its complete body. */
@SuppressWarnings("ArrayRecordComponent") // Passed on, never compared or hashed.
record StandInRequest(String method, URI uri, Headers headers, byte[] body) {
  String path() {
    return uri.getPath();
  }

  boolean is(String wantedMethod, String wantedPath) {
    return method.equals(wantedMethod) && path().equals(wantedPath);
  }

  long number(String parameter, long orElse) {
    return parameter(parameter).map(Long::parseLong).orElse(orElse);
  }

  String header(String name) {
    return Optional.ofNullable(headers.getFirst(name)).orElse("");
  }

  <T> T json(Class<T> type) throws IOException {
    return OutboundJson.read(body, type);
  }

  private Optional<String> parameter(String name) {
    String query = uri.getRawQuery();
    if (query == null) {
      return Optional.empty();
    }
    return Arrays.stream(query.split("&"))
        .filter(pair -> pair.startsWith(name + "="))
        .map(pair -> URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8))
        .findFirst();
  }
}
