package org.amaranthstream.dispatch;

import org.amaranthstream.admission.AdmissionPolicy;
import org.amaranthstream.decisions.DecisionLog;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RegionId;
import org.amaranthstream.membership.BackendDirectory;
import org.amaranthstream.placement.ConcurrencyLimit;
import org.amaranthstream.placement.LinkBudget;
import org.amaranthstream.placement.PlacementPolicy;
import org.amaranthstream.placement.ServerHealth;
import org.amaranthstream.time.TimerService;

/** Collaborators of a {@link Dispatcher}. */
record DispatcherParts(
    TimerService timers,
    BackendTransport transport,
    ZoneForwarder forwarder,
    BackendDirectory directory,
    RegionId region,
    Incarnation incarnation,
    DecisionLog decisionLog,
    ServerFeedback feedback,
    DispatchSettings settings,
    AdmissionPolicy admission,
    PlacementPolicy placement,
    QueueOrder.Factory queueOrder,
    RetryPolicy retryPolicy,
    RetryBudget retryBudget,
    LinkBudget linkBudget,
    ConcurrencyLimit.Factory limits,
    ServerHealth.Factory healths,
    ConnectionProbe connectionProbe) {}
