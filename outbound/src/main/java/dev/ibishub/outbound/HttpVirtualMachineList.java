package dev.ibishub.outbound;

import dev.ibishub.core.ResultCode;
import java.net.URI;
import java.net.http.HttpClient;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** VM list client over HTTP, as described in {@code docs/PLATFORM-PROTOCOLS.md}. Thread-safe. */
public final class HttpVirtualMachineList implements VirtualMachineList {
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
            VirtualMachine[].class,
            FAILURES)
        .thenApply(List::of);
  }
}
