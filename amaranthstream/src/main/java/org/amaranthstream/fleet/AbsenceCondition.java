package org.amaranthstream.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.Transaction;
import org.amaranthstream.platform.TransactionReply;

/**
 * A condition of a transaction: an incarnation of a daemon is not registered. The store verifies it
 * whenever the transaction arrives, also if that is long after the decision to send it.
 *
 * <p>The condition holds for one state of the registration of the VM: either there is none, or it
 * is that of another incarnation at a certain revision. {@link #after} returns the condition for
 * the state that a conflict shows. Immutable and thread safe.
 */
public final class AbsenceCondition {
  private static final Revision NO_ENTRY = Revision.of(0);

  private final EntryVmId vm;
  private final Incarnation incarnation;
  private final Revision registration;

  private AbsenceCondition(EntryVmId vm, Incarnation incarnation, Revision registration) {
    this.vm = checkNotNull(vm, "vm");
    this.incarnation = checkNotNull(incarnation, "incarnation");
    this.registration = checkNotNull(registration, "registration");
  }

  /** Returns the condition that no daemon is registered on {@code vm}. */
  static AbsenceCondition unregistered(EntryVmId vm, Incarnation incarnation) {
    return new AbsenceCondition(vm, incarnation, NO_ENTRY);
  }

  /** Returns the condition that {@code vm} is registered for another incarnation. */
  static AbsenceCondition replaced(EntryVmId vm, Incarnation incarnation, Revision registration) {
    return new AbsenceCondition(vm, incarnation, registration);
  }

  /** Adds the condition to a transaction. */
  public void addTo(Transaction.Builder transaction) {
    transaction.expect(FleetKeys.node(vm), registration);
  }

  /**
   * Returns the condition for the registration that a conflict shows.
   *
   * @return empty if the incarnation is registered
   */
  public Optional<AbsenceCondition> after(TransactionReply.Conflict conflict) {
    String key = FleetKeys.node(vm);
    Optional<KvEntry> current =
        conflict.current().stream().filter(entry -> entry.key().equals(key)).findFirst();
    if (current.isEmpty()) {
      return Optional.of(unregistered(vm, incarnation));
    }
    boolean isRegistered =
        FleetNode.decode(current.get().value())
            .filter(node -> node.incarnation().equals(incarnation))
            .isPresent();
    return isRegistered
        ? Optional.empty()
        : Optional.of(replaced(vm, incarnation, current.get().revision()));
  }
}
