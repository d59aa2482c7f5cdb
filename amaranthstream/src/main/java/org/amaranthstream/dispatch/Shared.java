package org.amaranthstream.dispatch;

import org.amaranthstream.membership.BackendDirectory;
import org.amaranthstream.placement.LinkBudget;

/** The state that the parts of one dispatcher share. */
record Shared(
    ServerTable servers,
    ZoneTable zones,
    PoisonRegistry poison,
    ServiceEstimates estimates,
    CandidateFinder finder,
    Recorder recorder) {

  static Shared of(DispatcherParts parts) {
    BackendDirectory directory = parts.directory();
    LinkBudget budget = parts.linkBudget();
    long reportMaxAge = parts.settings().reportMaxAge().toNanos();
    ServerTable servers = new ServerTable(directory, parts.limits(), parts.healths());
    ZoneTable zones = new ZoneTable(directory, parts.region(), budget, reportMaxAge);
    PoisonRegistry poison = PoisonRegistry.create(parts.settings().quarantineDuration());
    return new Shared(
        servers,
        zones,
        poison,
        new ServiceEstimates(),
        new CandidateFinder(servers, zones, poison, reportMaxAge),
        new Recorder(parts.decisionLog(), parts.timers()));
  }
}
