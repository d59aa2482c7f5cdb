package org.amaranthstream.weights;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.FencingNumber;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.result.Result;
import org.amaranthstream.servers.ServerDirectory;
import org.amaranthstream.servers.TrackedServer;
import org.amaranthstream.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WeightControllerTest {
  private static final ModelId MODEL = ModelId.of("m");
  private static final Duration LOAD = Duration.ofMillis(900);
  private static final int SERVERS = 6;

  private final VirtualTimerService timers = VirtualTimerService.create();
  private final ServerDirectory directory = ServerDirectory.create(timers);
  private final AnnouncedVersions announced = AnnouncedVersions.create();
  private final Engines engines = new Engines();
  private Optional<FencingNumber> fencingToken = Optional.of(FencingNumber.of(5));
  private final WeightController controller =
      WeightController.create(
          EntryVmId.of("vm"),
          announced,
          directory,
          engines,
          timers,
          new FencingTokenSource() {
            @Override
            public Optional<FencingNumber> current() {
              return fencingToken;
            }

            @Override
            public Optional<FencingNumber> issueForAction() {
              return fencingToken;
            }
          });

  /**
   * Engines that reject an order whose expected number of earlier orders is wrong, as real ones do.
   */
  private final class Engines implements SwapTransport {
    private final Map<BackendServerId, Long> versions = new HashMap<>();
    private final Map<BackendServerId, Long> orders = new HashMap<>();
    private final Map<BackendServerId, Boolean> busy = new HashMap<>();
    private final List<BackendServerId> accepted = new ArrayList<>();
    private int loading;
    private int maxLoading;
    private boolean loseReplies;
    private Duration lateBy = Duration.ZERO;

    @Override
    public CompletableFuture<Result<ServerReport>> report(TrackedServer server) {
      BackendServerId id = server.id();
      return CompletableFuture.completedFuture(
          Result.success(
              new ServerReport(
                  busy.getOrDefault(id, false),
                  orders.getOrDefault(id, 0L),
                  ImmutableMap.of(MODEL, WeightVersion.of(versions.getOrDefault(id, 1L))))));
    }

    @Override
    public CompletableFuture<SwapReply> order(
        TrackedServer server, SwapRequest request, FencingTokenSource fencingTokens) {
      if (fencingTokens.issueForAction().isEmpty()) {
        return CompletableFuture.completedFuture(SwapReply.NOT_ALLOWED);
      }
      if (loseReplies) {
        timers.after(lateBy, () -> apply(server.id(), request));
        return CompletableFuture.completedFuture(SwapReply.UNKNOWN);
      }
      return CompletableFuture.completedFuture(apply(server.id(), request));
    }

    private SwapReply apply(BackendServerId id, SwapRequest request) {
      boolean isExpected = orders.getOrDefault(id, 0L) == request.expectedOrders();
      if (!isExpected || busy.getOrDefault(id, false)) {
        return SwapReply.CONFLICT;
      }
      orders.merge(id, 1L, Long::sum);
      accepted.add(id);
      busy.put(id, true);
      loading++;
      maxLoading = Math.max(maxLoading, loading);
      timers.after(
          LOAD,
          () -> {
            busy.put(id, false);
            loading--;
            versions.put(id, request.version().value());
          });
      return SwapReply.STARTED;
    }
  }

  @BeforeEach
  void addServers() {
    for (int i = 0; i < SERVERS; i++) {
      directory.onRegistration(
          TestEngines.entry("s" + i, ImmutableMap.of(MODEL, WeightVersion.of(1))));
    }
    controller.start();
  }

  private void announce(long version) {
    announced.recordIfNewer(MODEL, WeightVersion.of(version));
    controller.plan();
  }

  private void run(double seconds) {
    timers.advance(Duration.ofMillis((long) (seconds * 1000)));
  }

  private long countAt(long version) {
    return engines.versions.values().stream().filter(v -> v == version).count();
  }

  @Nested
  class Orders {
    @Test
    void updateAllEnginesTwoAtOnce() {
      announce(2);
      run(10);

      assertThat(countAt(2)).isEqualTo(6);
      assertThat(engines.maxLoading).isEqualTo(2);
      assertThat(engines.accepted).hasSize(6);
    }

    /** Daemons learn which engines are about to reject items before these reject any. */
    @Test
    void followTheNoticeToDaemons() {
      controller.setNotice(() -> Duration.ofMillis(250));
      announce(2);
      long noticed =
          directory.all().stream()
              .filter(engine -> controller.loadingModels(engine).contains(MODEL))
              .count();
      run(0.2);
      assertThat(noticed).isEqualTo(2);
      assertThat(engines.accepted).isEmpty();

      run(12);
      assertThat(countAt(2)).isEqualTo(6);
      directory.all().forEach(engine -> assertThat(controller.loadingModels(engine)).isEmpty());
    }

    @Test
    void skipSupersededVersions() {
      announce(2);
      run(1);
      announce(3);
      run(10);

      assertThat(countAt(3)).isEqualTo(6);
      // Four engines have loaded or started to load version 2; the other two load version 3
      // directly.
      assertThat(engines.accepted).hasSize(4 + 6);
    }

    @Test
    void areNotSentWithoutLeadership() {
      fencingToken = Optional.empty();
      announce(2);
      run(10);

      assertThat(engines.accepted).isEmpty();
    }

    @Test
    void thatArriveLateHaveNoEffect() {
      engines.loseReplies = true;
      engines.lateBy = Duration.ofSeconds(4);
      announce(2);
      run(1);
      engines.loseReplies = false;
      run(20);

      assertThat(countAt(2)).isEqualTo(6);
      assertThat(engines.accepted).hasSize(6);
    }
  }

  @Nested
  class Updates {
    /** A trainer announces a version every 4 s and allows samples of the last two versions. */
    @Test
    void finishBeforeTheNextVersionIsAnnounced() {
      announce(2);
      for (long version = 3; version <= 8; version++) {
        run(4);
        announce(version);

        assertThat(countAt(version - 1)).isEqualTo(SERVERS);
      }
    }
  }
}
