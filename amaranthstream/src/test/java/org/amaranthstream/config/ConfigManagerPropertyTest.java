package org.amaranthstream.config;

import java.time.Duration;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;

/**
 * Guards against an accepted generation being replaced by an older one. The histories combine
 * concurrent changes, lost responses, outages, stale reads, stalled watches, restored backups and
 * restarts.
 */
class ConfigManagerPropertyTest {

  @Property(seed = "20261203", tries = 1_000)
  void acceptedGenerationNeverReverts(@ForAll("histories") ActionChain<ConfigFleet> history) {
    history.run().checkConvergence();
  }

  @Provide
  ActionChainArbitrary<ConfigFleet> histories() {
    return ActionChain.startWith(ConfigFleet::new)
        .withAction(6, change())
        .withAction(4, time())
        .withAction(3, peers())
        .withAction(5, platform())
        .withAction(2, restart())
        .withMaxTransformations(40);
  }

  private static Arbitrary<Integer> daemons() {
    return Arbitraries.integers().between(0, ConfigFleet.SIZE - 1);
  }

  private static Action.Independent<ConfigFleet> change() {
    return () ->
        Combinators.combine(
                daemons(),
                Arbitraries.frequencyOf(
                    Tuple.of(4, Arbitraries.just(0)), Tuple.of(1, Arbitraries.just(1))),
                Arbitraries.of(FakeKeyValueStore.WriteFault.class))
            .as(
                (daemon, lag, fault) ->
                    Transformer.mutate(
                        "change at " + daemon + " lag " + lag + " fault " + fault,
                        fleet -> {
                          fleet.store().failNextWrite(fault);
                          fleet.put(daemon, lag);
                        }));
  }

  private static Action.Independent<ConfigFleet> time() {
    return () ->
        Arbitraries.of(1, 7, 400, 6_000)
            .map(
                millis ->
                    Transformer.mutate(
                        millis + " ms pass", fleet -> fleet.advance(Duration.ofMillis(millis))));
  }

  private static Action.Independent<ConfigFleet> peers() {
    return () ->
        Combinators.combine(daemons(), daemons())
            .as(
                (from, to) ->
                    Transformer.mutate(from + " sends to " + to, fleet -> fleet.gossip(from, to)));
  }

  private static Action.Independent<ConfigFleet> platform() {
    return () ->
        Arbitraries.of(
            Transformer.mutate("outage begins", fleet -> fleet.store().setOutage(true)),
            Transformer.mutate("outage ends", fleet -> fleet.store().setOutage(false)),
            Transformer.mutate("watches stall", fleet -> fleet.store().setWatchesStalled(true)),
            Transformer.mutate("watches work", fleet -> fleet.store().setWatchesStalled(false)),
            Transformer.mutate("reads are stale", fleet -> fleet.store().makeReadsStale(3)),
            Transformer.mutate("backup is made", fleet -> fleet.store().backUp()),
            Transformer.mutate("backup is restored", ConfigFleet::restoreBackup));
  }

  private static Action.Independent<ConfigFleet> restart() {
    return () ->
        Combinators.combine(daemons(), Arbitraries.of(true, false))
            .as(
                (daemon, keepsStorage) ->
                    Transformer.mutate(
                        daemon + " restarts, keeps storage " + keepsStorage,
                        fleet -> fleet.restart(daemon, keepsStorage)));
  }
}
