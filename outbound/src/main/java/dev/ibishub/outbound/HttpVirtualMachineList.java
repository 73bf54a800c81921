package dev.ibishub.outbound;

import dev.ibishub.core.ResultCode;
import java.net.URI;
import java.net.http.HttpClient;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's VM list by HTTP, as {@code docs/PLATFORM-PROTOCOLS.md} describes it. */
public final class HttpVirtualMachineList implements VirtualMachineList {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final OutboundHttp.Failures FAILURES =
      new OutboundHttp.Failures(ResultCode.TARGET_UNREACHABLE, ResultCode.TARGET_UNREACHABLE);

  private final OutboundHttp http;

  private HttpVirtualMachineList(OutboundHttp http) {
    this.http = http;
  }

  /**
   * Creates an adapter.
   *
   * @param base where the list is served, without a slash at the end
   * @param client from {@link OutboundHttp#newClient}
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
