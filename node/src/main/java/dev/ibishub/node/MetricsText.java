package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.gateway.http.PageServer.Page;
import dev.ibishub.runtime.LogEvent;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/** The metrics page, in the Prometheus text format. Thread-safe. */
final class MetricsText implements Function<String, Page> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PrometheusRegistry registry;
  private final Runnable update;
  private final PrometheusTextFormatWriter writer =
      PrometheusTextFormatWriter.builder().setIncludeCreatedTimestamps(false).build();

  /**
   * Creates the page.
   *
   * @param update updates the gauges; called before each scrape
   */
  MetricsText(PrometheusRegistry registry, Runnable update) {
    this.registry = registry;
    this.update = update;
  }

  @Override
  public Page apply(String target) {
    update.run();
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    try {
      writer.write(text, registry.scrape());
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("%s", LogEvent.of("metrics.unwritten"));
      return Page.text(500, "metrics can't be written\n");
    }
    return new Page(200, writer.getContentType(), text.toString(StandardCharsets.UTF_8));
  }
}
