package dev.ibishub.runtime;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import io.prometheus.metrics.expositionformats.ExpositionFormatWriter;
import io.prometheus.metrics.expositionformats.ExpositionFormats;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

/** Serves the monitoring endpoints of a process: metrics, health and readiness. */
public final class MonitoringEndpoints {
  private MonitoringEndpoints() {}

  /**
   * Adds {@code /metrics}, {@code /healthz} and {@code /readyz} to a server.
   *
   * @param server adds the handler of a path to the server
   * @param registry metrics to expose, in a Prometheus format
   * @param ready whether the process accepts new work; {@code /readyz} answers 503 if not
   */
  public static void addTo(
      BiConsumer<String, HttpHandler> server, PrometheusRegistry registry, BooleanSupplier ready) {
    ExpositionFormats formats = ExpositionFormats.init();
    server.accept("/metrics", exchange -> writeMetrics(exchange, formats, registry));
    server.accept("/healthz", textResponse(200, "ok\n"));
    server.accept(
        "/readyz",
        exchange ->
            textResponse(
                    ready.getAsBoolean() ? 200 : 503,
                    ready.getAsBoolean() ? "ready\n" : "not ready\n")
                .handle(exchange));
  }

  private static void writeMetrics(
      HttpExchange exchange, ExpositionFormats formats, PrometheusRegistry registry)
      throws IOException {
    ExpositionFormatWriter writer =
        formats.findWriter(exchange.getRequestHeaders().getFirst("Accept"));
    ByteArrayOutputStream page = new ByteArrayOutputStream();
    writer.write(page, registry.scrape());
    sendResponse(exchange, 200, writer.getContentType(), page.toByteArray());
  }

  private static HttpHandler textResponse(int status, String body) {
    return exchange ->
        sendResponse(
            exchange, status, "text/plain; charset=utf-8", body.getBytes(StandardCharsets.UTF_8));
  }

  private static void sendResponse(
      HttpExchange exchange, int status, String contentType, byte[] body) throws IOException {
    try (exchange) {
      exchange.getResponseHeaders().set("Content-Type", contentType);
      exchange.sendResponseHeaders(status, body.length);
      exchange.getResponseBody().write(body);
    }
  }
}
