package dev.ibishub.outbound;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.ResultCode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.StreamSupport;

/** VM list client over HTTP, as described in {@code docs/PLATFORM-PROTOCOLS.md}. Thread-safe. */
public final class HttpVirtualMachineList implements VirtualMachineList {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final OutboundHttp.Failures FAILURES =
      new OutboundHttp.Failures(ResultCode.TARGET_UNREACHABLE, ResultCode.TARGET_UNREACHABLE);

  private final OutboundHttp http;

  private HttpVirtualMachineList(OutboundHttp http) {
    this.http = http;
  }

  /**
   * Creates a client of the VM list.
   *
   * @param base the base URI of the service, without a trailing slash
   * @param client an HTTP client from {@link OutboundHttp#newClient}
   */
  public static HttpVirtualMachineList create(URI base, HttpClient client) {
    return new HttpVirtualMachineList(OutboundHttp.create(base, client));
  }

  @Override
  public CompletableFuture<List<VirtualMachine>> read() {
    return http.call(
            http.request("/v1/virtual-machines", Instant.now().plus(TIMEOUT)).GET().build(),
            ArrayNode.class,
            FAILURES)
        .thenApply(HttpVirtualMachineList::readable);
  }

  /** Returns the VMs of a list but those that can't be read, which concern no others. */
  private static List<VirtualMachine> readable(ArrayNode list) {
    return StreamSupport.stream(list.spliterator(), false)
        .map(HttpVirtualMachineList::virtualMachine)
        .flatMap(Optional::stream)
        .toList();
  }

  private static Optional<VirtualMachine> virtualMachine(JsonNode item) {
    try {
      return Optional.of(OutboundJson.read(item, VirtualMachine.class));
    } catch (IOException e) {
      logger.atWarning().withCause(e).atMostEvery(1, TimeUnit.MINUTES).log(
          "an entry of the list of VMs can't be read: %s", item);
      return Optional.empty();
    }
  }
}
