package org.amaranthstream.workspaces;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amaranthstream.auth.TokenDigest;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.result.Result;
import org.amaranthstream.routing.RequestLimits;
import org.amaranthstream.routing.RoutingConfig;
import org.amaranthstream.routing.RoutingTable;

/**
 * Series of configurations in which keys are added, moved between workspaces, shared and taken, at
 * daemons that miss versions, get them late or twice, and restart. Each decision must be that of
 * the newest configuration that the daemon has got since its start.
 */
class WorkspaceKeysPropertyTest {
  private static final int DAEMONS = 3;
  private static final int KEYS = 8;
  private static final int WORKSPACES = 4;

  /** A configuration as the model sees it: the workspaces that hold each key. */
  private record Version(long number, Map<String, TreeSet<String>> holders) {
    RoutingConfig config() {
      List<Workspace> workspaces = new ArrayList<>();
      for (int i = 0; i < WORKSPACES; i++) {
        String name = "w" + i;
        ImmutableSet.Builder<TokenDigest> keys = ImmutableSet.builder();
        holders.forEach(
            (key, names) -> {
              if (names.contains(name)) {
                keys.add(TokenDigest.of(key));
              }
            });
        workspaces.add(new Workspace(WorkspaceId.of(name), OptionalInt.empty(), keys.build()));
      }
      return RoutingConfig.of(number, List.of(), List.of(), RequestLimits.defaults())
          .withWorkspaces(WorkspaceDirectory.of(workspaces));
    }

    Optional<WorkspaceId> workspaceOf(String key) {
      TreeSet<String> names = holders.getOrDefault(key, new TreeSet<>());
      return names.size() == 1 ? Optional.of(WorkspaceId.of(names.first())) : Optional.empty();
    }

    Version next(Random random) {
      Map<String, TreeSet<String>> next = new HashMap<>();
      holders.forEach((key, names) -> next.put(key, new TreeSet<>(names)));
      TreeSet<String> names =
          next.computeIfAbsent("key" + random.nextInt(KEYS), unused -> new TreeSet<>());
      if (random.nextInt(4) != 0) {
        names.clear();
      }
      if (random.nextInt(3) != 0) {
        names.add("w" + random.nextInt(WORKSPACES));
      }
      return new Version(number + 1 + random.nextInt(3), next);
    }
  }

  /** A daemon, with the newest version that it has got. */
  private static final class Daemon {
    private RoutingTable table = RoutingTable.create();
    private Optional<Version> newest = Optional.empty();

    void receive(Version version) {
      table.apply(version.config());
      if (newest.isEmpty() || newest.get().number() < version.number()) {
        newest = Optional.of(version);
      }
    }

    void restart() {
      table = RoutingTable.create();
      newest = Optional.empty();
    }
  }

  private static void checkDecisions(Daemon daemon) {
    assertThat(daemon.table.current().isPresent()).isEqualTo(daemon.newest.isPresent());
    if (daemon.newest.isEmpty()) {
      return;
    }
    WorkspaceDirectory directory = daemon.table.current().get().workspaces();
    for (int i = 0; i <= KEYS; i++) {
      String key = "key" + i;
      Optional<WorkspaceId> expected = daemon.newest.get().workspaceOf(key);
      List<String> header = List.of("Bearer " + key);
      assertWithMessage("%s at version %s", key, daemon.newest.get().number())
          .that(directory.authorize(header, false) instanceof Result.Success)
          .isEqualTo(expected.isPresent());
      assertThat(directory.authorize(header, true)).isEqualTo(Result.success(expected));
    }
  }

  @Property(tries = 200, seed = "20261204")
  void decisionsFollowTheNewestConfigurationOfTheDaemon(@ForAll long seed) {
    Random random = new Random(seed);
    List<Version> versions = new ArrayList<>(List.of(new Version(1, Map.of())));
    List<Daemon> daemons = new ArrayList<>();
    for (int i = 0; i < DAEMONS; i++) {
      daemons.add(new Daemon());
    }
    for (int step = 0; step < 40; step++) {
      Daemon daemon = daemons.get(random.nextInt(DAEMONS));
      switch (random.nextInt(4)) {
        case 0 -> versions.add(versions.get(versions.size() - 1).next(random));
        case 1 -> daemon.receive(versions.get(random.nextInt(versions.size())));
        case 2 -> daemon.receive(versions.get(versions.size() - 1));
        default -> {
          if (random.nextInt(4) == 0) {
            daemon.restart();
          }
        }
      }
      daemons.forEach(WorkspaceKeysPropertyTest::checkDecisions);
    }
  }
}
