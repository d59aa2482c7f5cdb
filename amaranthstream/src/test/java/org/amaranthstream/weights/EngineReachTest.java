package org.amaranthstream.weights;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.Test;

/** A leader that reaches no engine would keep every trainer waiting for the next version. */
class EngineReachTest {
  private final ServerDirectory directory = ServerDirectory.create(VirtualTimerService.create());

  private List<TrackedServer> engines() {
    directory.onRegistration(
        TestEngines.entry("e1", ImmutableMap.of(ModelId.of("m"), WeightVersion.of(1))));
    return directory.all();
  }

  @Test
  void engineOfServiceThatIsNotLostIsReached() {
    assertThat(EngineReach.reachesEngines(engines(), service -> false)).isTrue();
  }

  @Test
  void noEngineIsReachedIfTheirServicesAreLost() {
    assertThat(EngineReach.reachesEngines(engines(), service -> true)).isFalse();
  }

  @Test
  void daemonWithoutEnginesStaysEligible() {
    assertThat(EngineReach.reachesEngines(List.of(), service -> true)).isTrue();
  }
}
