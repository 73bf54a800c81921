package dev.ibishub.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.serving.crashes.CrashFindings;
import dev.ibishub.core.serving.crashes.CrashedRun;
import dev.ibishub.core.serving.crashes.Quarantine;
import dev.ibishub.core.serving.crashes.RequestIdentity;
import dev.ibishub.core.serving.crashes.RequestTrait;
import dev.ibishub.core.serving.crashes.RequestTraits;
import dev.ibishub.wire.generated.CrashReport;
import dev.ibishub.wire.generated.QuarantinedRequests;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class CrashMessagesTest {
  private static final RequestIdentity IDENTITY = new RequestIdentity("digest");
  private static final RequestTrait PART = RequestTrait.ofPart("s", "p");
  private static final RequestTrait REQUEST = RequestTrait.ofRequest(IDENTITY);

  @Test
  void findingsAreReadAsTheyWereSent() {
    CrashFindings findings =
        new CrashFindings(
            List.of(
                new CrashedRun(
                    new RequestTraits("s", "w", IDENTITY, List.of("p", "q")), "t@1", 100, 200)),
            List.of(
                new CrashFindings.Clearing(PART, 150), new CrashFindings.Clearing(REQUEST, 1_000)),
            List.of(new CrashFindings.Probe(PART, 1_500)),
            List.of(
                new Quarantine(Set.of(PART, RequestTrait.ofPart("s", "q")), Set.of("w"), 90, 2, 9),
                new Quarantine(Set.of(REQUEST), Set.of(), 90, 0, 5_000)));

    CrashFindings read =
        CrashMessages.findings(CrashMessages.frame(findings, 1_000).getCrashReport(), 1_000);

    assertThat(read.runs()).isEqualTo(findings.runs());
    assertThat(read.cleared()).containsExactlyInAnyOrderElementsOf(findings.cleared());
    assertThat(read.probes()).isEqualTo(findings.probes());
    assertThat(read.quarantines()).isEqualTo(findings.quarantines());
  }

  // Guards against a report of another build that names no trait.
  @Test
  void quarantineWithoutTraitIsLeftOut() {
    CrashReport report =
        CrashReport.newBuilder().addQuarantines(QuarantinedRequests.newBuilder()).build();

    assertThat(CrashMessages.findings(report, 0).quarantines()).isEmpty();
  }
}
