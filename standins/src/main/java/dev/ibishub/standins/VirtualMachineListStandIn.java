package dev.ibishub.standins;

import dev.ibishub.core.ResultCode;
import dev.ibishub.outbound.VirtualMachine;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The platform's VM list, which shows a change only after a lag. Thread-safe under its own lock.
 */
final class VirtualMachineListStandIn {
  private final Object lock = new Object();
  private final Deque<Change> changes = new ArrayDeque<>();
  private final long lagMillis;

  private record Change(Instant visibleAt, List<VirtualMachine> machines) {}

  VirtualMachineListStandIn(long lagMillis) {
    this.lagMillis = lagMillis;
    changes.add(new Change(Instant.MIN, List.of()));
  }

  StandInReply handle(StandInRequest request) throws IOException {
    if (request.is("GET", "/v1/virtual-machines")) {
      return StandInReply.json(visible());
    }
    if (request.is("PUT", "/control/virtual-machines")) {
      change(List.of(request.json(VirtualMachine[].class)));
      return StandInReply.empty();
    }
    return StandInReply.refusal(ResultCode.NOT_FOUND, "no such path");
  }

  private void change(List<VirtualMachine> machines) {
    synchronized (lock) {
      changes.add(new Change(Instant.now().plusMillis(lagMillis), machines));
    }
  }

  private List<VirtualMachine> visible() {
    synchronized (lock) {
      Instant now = Instant.now();
      while (changes.size() > 1 && nextIsVisible(now)) {
        changes.removeFirst();
      }
      return changes.getFirst().machines();
    }
  }

  private boolean nextIsVisible(Instant now) {
    return changes.stream().skip(1).findFirst().map(c -> !c.visibleAt().isAfter(now)).orElse(false);
  }
}
