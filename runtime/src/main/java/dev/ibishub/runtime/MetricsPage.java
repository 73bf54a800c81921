package dev.ibishub.runtime;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import io.prometheus.metrics.expositionformats.ExpositionFormatWriter;
import io.prometheus.metrics.expositionformats.ExpositionFormats;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

/** The pages that watchers of a process read: metrics, health and readiness. */
public final class MetricsPage {
  private MetricsPage() {}

  /**
   * Adds {@code /metrics}, {@code /healthz} and {@code /readyz} to a server.
   *
   * @param server the server
   * @param registry the metrics
   * @param ready whether the process takes new work
   */
  public static void addTo(HttpServer server, PrometheusRegistry registry, BooleanSupplier ready) {
    ExpositionFormats formats = ExpositionFormats.init();
    server.createContext("/metrics", exchange -> writeMetrics(exchange, formats, registry));
    server.createContext("/healthz", text(200, "ok\n"));
    server.createContext(
        "/readyz",
        exchange ->
            text(ready.getAsBoolean() ? 200 : 503, ready.getAsBoolean() ? "ready\n" : "not ready\n")
                .handle(exchange));
  }

  private static void writeMetrics(
      HttpExchange exchange, ExpositionFormats formats, PrometheusRegistry registry)
      throws IOException {
    ExpositionFormatWriter writer =
        formats.findWriter(exchange.getRequestHeaders().getFirst("Accept"));
    ByteArrayOutputStream page = new ByteArrayOutputStream();
    writer.write(page, registry.scrape());
    send(exchange, 200, writer.getContentType(), page.toByteArray());
  }

  private static HttpHandler text(int status, String body) {
    return exchange ->
        send(exchange, status, "text/plain; charset=utf-8", body.getBytes(StandardCharsets.UTF_8));
  }

  private static void send(HttpExchange exchange, int status, String contentType, byte[] body)
      throws IOException {
    try (exchange) {
      exchange.getResponseHeaders().set("Content-Type", contentType);
      exchange.sendResponseHeaders(status, body.length);
      exchange.getResponseBody().write(body);
    }
  }
}
