package dev.ibishub.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.serving.RequestKind;
import dev.ibishub.gateway.model.EngineProfile;
import dev.ibishub.gateway.model.Route;
import dev.ibishub.gateway.model.Workspace;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

final class RoutingTest {
  private static int priority(OptionalInt ofWorkspace, int ofRoute) {
    EngineProfile engine = new EngineProfile(8, 5, 1, 6, 100, 500, 60, 0, 0, 0, 0, 0, 0, 0, 0);
    Route route =
        new Route(
            "r",
            "host",
            "/r/",
            RequestKind.RESUMABLE_STREAM,
            8_000,
            400,
            120,
            ofRoute,
            List.of(new Route.Destination("s", 1)),
            2,
            true);
    return new Routing.Routed(
            1, route, "s", Optional.of(new Workspace("w", ofWorkspace)), Optional.of(engine), 8_000)
        .priority()
        .orElseThrow();
  }

  // Guards against urgent routes that wait behind the others because all workspaces have the same
  // priority: the most urgent class was served worst.
  @Test
  void routesDecideBetweenRequestsOfEqualWorkspaces() {
    OptionalInt one = OptionalInt.of(1);

    assertThat(priority(one, 0)).isLessThan(priority(one, 1));
    assertThat(priority(one, 1)).isLessThan(priority(one, 2));
  }

  @Test
  void workspacesGoBeforeRoutes() {
    assertThat(priority(OptionalInt.of(0), 2)).isLessThan(priority(OptionalInt.of(1), 0));
    assertThat(priority(OptionalInt.of(1), 7)).isLessThan(priority(OptionalInt.of(2), 0));
    assertThat(priority(OptionalInt.empty(), 1)).isEqualTo(priority(OptionalInt.of(1), 1));
  }

  // Guards against routes that state no different priorities and whose requests would overtake each
  // other all the same.
  @Test
  void requestsOfEqualRoutesAndWorkspacesHaveOnePriority() {
    assertThat(priority(OptionalInt.of(1), 1)).isEqualTo(priority(OptionalInt.of(1), 1));
    assertThat(priority(OptionalInt.of(2), 2)).isLessThanOrEqualTo(9);
  }
}
