package dev.ibishub.gateway.front;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

/** Dialect with short headers for these tests, which do without the platform's. */
final class PlainDialect implements RequestDialect {
  @Override
  public void writeTargetHeaders(HttpHeaders headers, TargetRequest request) {
    headers.set("target", request.targetId());
    request.lastEventId().ifPresent(id -> headers.set("after", id));
  }

  @Override
  public CallerRequest read(HttpRequest request) {
    return new CallerRequest(
        request.headers().get("id", ""),
        OptionalLong.empty(),
        Optional.empty(),
        OptionalLong.empty(),
        List.of(request.headers().get("parts", "").split(",")).stream()
            .filter(part -> !part.isEmpty())
            .toList(),
        request.headers().contains("target"));
  }

  @Override
  public TargetResponse read(HttpResponse response) {
    return new TargetResponse(
        response.status().code(),
        response.headers().contains("not-run"),
        response.headers().contains("signed"),
        Optional.ofNullable(response.headers().get("id")),
        response.headers().contains(HttpHeaderNames.CONTENT_ENCODING),
        response.headers().get(HttpHeaderNames.CONTENT_TYPE, "").startsWith("text/event-stream"),
        Stream.ofNullable(response.headers().get("limit"))
            .mapToDouble(Double::parseDouble)
            .findFirst(),
        Stream.ofNullable(response.headers().get("rest")).mapToLong(Long::parseLong).findFirst(),
        response.headers().contains("leaving"),
        Stream.ofNullable(response.headers().get("cold")).mapToLong(Long::parseLong).findFirst());
  }
}
