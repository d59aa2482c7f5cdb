package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.GroupId;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.memory.Reservation;
import org.jspecify.annotations.Nullable;

/**
 * State of a job that this daemon owns: its items, the listed results, and the results that are
 * still to be listed.
 *
 * <p>A result is listed only once the store has acknowledged its page. Not thread safe.
 */
final class OwnedJob {
  private static final byte[] NO_TEXT = new byte[0];

  private final int itemCount;
  private final Reservation memory;
  private final long ownedSinceNanos;
  private final long startNanos;
  private final Map<ItemId, ItemProgress> items = new LinkedHashMap<>();
  private final Map<GroupId, Integer> openInGroup = new LinkedHashMap<>();
  private final ListedResults listed = new ListedResults();
  private final ArrayDeque<ItemResult> unlisted = new ArrayDeque<>();
  private final List<Runnable> waiters = new ArrayList<>();
  private JobSpec spec;
  private StoredOwner owner;
  private boolean isEnded;
  private boolean isOwnershipLost;
  private boolean isAppending;
  private boolean wasRouted;
  private int nextProgressPage;
  private int textsToScore;

  /**
   * Creates the state of a job that has no results yet.
   *
   * @param sinceAccepted the time since the job was accepted, as the times of day of the VMs that
   *     accepted it and that own it now tell
   * @param memory the memory of the job, which includes {@link JobSpec#memoryBytes}
   */
  OwnedJob(
      JobSpec spec, StoredOwner owner, long nowNanos, Duration sinceAccepted, Reservation memory) {
    this.spec = spec;
    this.itemCount = spec.items().size();
    this.memory = memory;
    this.owner = owner;
    this.ownedSinceNanos = nowNanos;
    this.startNanos = nowNanos - sinceAccepted.toNanos();
    this.isEnded = owner.owner().isEnded();
    for (ItemSpec item : spec.items()) {
      items.put(item.id(), new ItemProgress(item, ExpectedLength.tokens(item), memory));
      openInGroup.merge(item.group(), 1, Integer::sum);
    }
  }

  /** Adds a page of results that previous owners have listed, and returns it. */
  ListedPage restorePage(ImmutableList<ItemResult> page) {
    page.forEach(result -> close(items.get(result.item())));
    ListedPage added = listed.add(page.size());
    releaseItemsIfDone();
    return added;
  }

  /** Gives up the items once none of them can run or is asked for any more. */
  private void releaseItemsIfDone() {
    if (!items.isEmpty() && (isEnded || isFullyListed())) {
      items.values().forEach(item -> item.text().clear());
      items.clear();
      long bytes = spec.memoryBytes();
      spec = spec.withoutItems();
      memory.shrink(bytes);
    }
  }

  /** Releases the memory of a job that this daemon no longer owns. */
  void discard() {
    memory.release();
  }

  /** Restores the checkpoints and partial output of previous owners. */
  void restoreProgress(JobCheckpoint progress) {
    progress.texts().forEach(this::restoreText);
    nextProgressPage = progress.nextPage();
  }

  private void restoreText(PartialOutput partial) {
    ItemProgress item = items.get(partial.item());
    if (item == null || item.isFinished()) {
      return;
    }
    boolean isUsable = partial.isComplete() || partial.softwareVersion().isPresent();
    if (item.stage() == ItemStage.GENERATE && isUsable) {
      item.text().restore(partial);
      if (partial.isComplete()) {
        onTextComplete(item);
      }
    }
    if (item.stage() == ItemStage.SCORE && partial.isComplete()) {
      partial.score().ifPresent(score -> onScored(item, score));
    }
  }

  /** Returns the output that is not listed yet, for the next owner. */
  ImmutableList<PartialOutput> partials() {
    ImmutableList.Builder<PartialOutput> partials = ImmutableList.builder();
    for (ItemResult result : unlisted) {
      if (result.isComplete()) {
        partials.add(
            new PartialOutput(
                result.item(),
                result.text(),
                1,
                result.versions(),
                Optional.empty(),
                true,
                result.score()));
      }
    }
    for (ItemProgress item : items.values()) {
      ItemText text = item.text();
      if (!item.isFinished() && text.lastEvent() > 0) {
        partials.add(
            new PartialOutput(
                item.spec().id(),
                text.bytes(),
                text.lastEvent(),
                text.versions(),
                text.softwareVersion(),
                item.stage() == ItemStage.SCORE,
                Optional.empty()));
      }
    }
    return partials.build();
  }

  /**
   * Returns the unsaved text of open items that are complete or have at least {@code minEvents}
   * events. Stops once the parts amount to {@code maxBytes}.
   */
  ImmutableList<CheckpointPart> takeUnsavedTexts(int minEvents, int maxBytes) {
    ImmutableList.Builder<CheckpointPart> parts = ImmutableList.builder();
    int bytes = 0;
    for (ItemProgress item : items.values()) {
      boolean isLongEnough =
          item.stage() == ItemStage.SCORE || item.text().lastEvent() >= minEvents;
      if (item.isFinished() || !isLongEnough || bytes >= maxBytes) {
        continue;
      }
      Optional<CheckpointPart> part = item.text().takeUnsaved(item.spec().id());
      part.ifPresent(parts::add);
      bytes += part.map(p -> p.text().length).orElse(0);
    }
    return parts.build();
  }

  /** Records that the parts have been saved to the store. */
  void markSaved(ImmutableList<CheckpointPart> parts) {
    for (CheckpointPart part : parts) {
      ItemProgress item = items.get(part.item());
      if (item != null) {
        item.text().markSaved();
      }
    }
  }

  /** Returns the number of the next checkpoint page; each call returns a new number. */
  int takeProgressPage() {
    int page = nextProgressPage;
    nextProgressPage++;
    return page;
  }

  /** Returns true if some items need a reward call. */
  boolean hasRewardCalls() {
    return spec.items().stream().anyMatch(item -> item.rewardCall().isPresent());
  }

  /** Returns true if complete texts wait for their score or for the response of their call. */
  boolean hasTextsToScore() {
    return textsToScore > 0;
  }

  /** Returns the number of items in the group of {@code item} that have no result yet. */
  int openItemsInGroupOf(ItemProgress item) {
    return openInGroup.getOrDefault(item.spec().group(), 0);
  }

  boolean hasOpenItems() {
    return items.values().stream().anyMatch(item -> !item.isFinished());
  }

  JobSpec spec() {
    return spec;
  }

  JobId id() {
    return spec.id();
  }

  StoredOwner owner() {
    return owner;
  }

  void setOwner(StoredOwner owner) {
    this.owner = owner;
    this.isEnded |= owner.owner().isEnded();
  }

  /**
   * Returns the time since the job was accepted. The estimate of a job that was taken over is off
   * by as much as the times of day of two VMs differ, so it must decide nothing but an order.
   */
  Duration age(long nowNanos) {
    return Duration.ofNanos(nowNanos - startNanos);
  }

  /**
   * Returns the time for which this daemon has owned the job, by the monotonic clock. The job is at
   * least as old.
   */
  Duration ownedTime(long nowNanos) {
    return Duration.ofNanos(nowNanos - ownedSinceNanos);
  }

  Iterable<ItemProgress> items() {
    return items.values();
  }

  /** Returns the incomplete groups that the trainer needs most. */
  ImmutableSet<GroupId> neededGroups() {
    List<NeededGroups.OpenItem> open =
        items.values().stream()
            .filter(item -> !item.isFinished())
            .map(item -> new NeededGroups.OpenItem(item.spec().group(), item.expectedTokens()))
            .toList();
    return NeededGroups.of(ImmutableList.copyOf(openInGroup.keySet()), open, spec.wantedGroups());
  }

  /** Returns the number of groups all of whose items have a result. */
  long completeGroups() {
    return openInGroup.values().stream().filter(open -> open == 0).count();
  }

  boolean isRunnable() {
    return !isEnded && !isOwnershipLost;
  }

  /** Records that a configuration of this daemon had a route for the job. */
  void markRouted() {
    wasRouted = true;
  }

  /** Returns true if the configuration has had a route for the job since this daemon owns it. */
  boolean wasRouted() {
    return wasRouted;
  }

  boolean isEnded() {
    return isEnded;
  }

  boolean isOwnershipLost() {
    return isOwnershipLost;
  }

  /** Ends the job: cancels its runs and discards the results that are not listed yet. */
  void end() {
    isEnded = true;
    clearUnlisted();
    stopRuns();
    releaseItemsIfDone();
    wakeWaiters();
  }

  /** Records that another daemon has taken over the job; cancels its runs. */
  void loseOwnership() {
    isOwnershipLost = true;
    clearUnlisted();
    stopRuns();
    wakeWaiters();
  }

  private void clearUnlisted() {
    long bytes = unlisted.stream().mapToLong(ResultCache::bytesOf).sum();
    unlisted.clear();
    memory.shrink(bytes);
  }

  private void shrinkBy(ItemResult result) {
    memory.shrink(ResultCache.bytesOf(result));
  }

  private void stopRuns() {
    items.values().forEach(ItemProgress::cancel);
  }

  /** Records that the text of an item is complete, and moves the item to its next stage. */
  void onTextComplete(ItemProgress item) {
    item.text().markComplete();
    item.advance();
    if (item.stage() == ItemStage.SCORE) {
      textsToScore++;
    } else {
      complete(item, Optional.empty());
    }
  }

  /** Records the score of an item's text. */
  void onScored(ItemProgress item, Score score) {
    complete(item, Optional.of(score));
  }

  private void complete(ItemProgress item, Optional<Score> score) {
    ItemText text = item.text();
    finish(item, new ItemResult(item.spec().id(), true, text.bytes(), text.versions(), score));
  }

  /** Gives up an item; its result is incomplete and has no text. */
  void giveUp(ItemProgress item) {
    item.cancel();
    finish(
        item,
        new ItemResult(
            item.spec().id(), false, NO_TEXT, ImmutableSortedSet.of(), Optional.empty()));
  }

  private void finish(ItemProgress item, ItemResult result) {
    close(item);
    item.text().clear();
    if (isRunnable()) {
      memory.forceGrow(ResultCache.bytesOf(result));
      unlisted.add(result);
    }
  }

  private void close(@Nullable ItemProgress item) {
    if (item != null && !item.isFinished()) {
      textsToScore -= item.stage() == ItemStage.SCORE ? 1 : 0;
      item.finish();
      openInGroup.merge(item.spec().group(), -1, Integer::sum);
    }
  }

  /**
   * Removes and returns the results to append next: those that fit in {@code maxBytes}, and at
   * least one if there are any.
   */
  ImmutableList<ItemResult> nextPage(int maxBytes) {
    ImmutableList.Builder<ItemResult> page = ImmutableList.builder();
    int bytes = 0;
    while (!unlisted.isEmpty() && (bytes == 0 || bytes + size(unlisted.peek()) <= maxBytes)) {
      ItemResult result = unlisted.remove();
      bytes += size(result);
      page.add(result);
    }
    return page.build();
  }

  private static int size(ItemResult result) {
    return result.text().length + 1;
  }

  boolean hasUnlisted() {
    return !unlisted.isEmpty();
  }

  boolean isAppending() {
    return isAppending;
  }

  void setAppending(boolean isAppending) {
    this.isAppending = isAppending;
  }

  int listedCount() {
    return listed.size();
  }

  /** Returns the index of the listed results. */
  ListedResults listed() {
    return listed;
  }

  /** Adds the results of a page that the store has acknowledged, and returns the page. */
  ListedPage addListed(ImmutableList<ItemResult> page) {
    page.forEach(this::shrinkBy);
    ListedPage added = listed.add(page.size());
    releaseItemsIfDone();
    return added;
  }

  /** Calls the waiters for results. */
  void notifyListed() {
    wakeWaiters();
  }

  /** Takes the results of a page back that conflicted with a change of the record. */
  void returnPage(ImmutableList<ItemResult> page) {
    if (isRunnable()) {
      page.reverse().forEach(unlisted::addFirst);
    } else {
      dropPage(page);
    }
  }

  /** Drops the results of a page that the store has not accepted. */
  void dropPage(ImmutableList<ItemResult> page) {
    page.forEach(this::shrinkBy);
  }

  /** Returns the number of items. */
  int itemCount() {
    return itemCount;
  }

  /** Returns true if every item has a listed result. */
  boolean isFullyListed() {
    return listed.size() == itemCount;
  }

  /**
   * Calls {@code waiter} once: when more results are listed, or when it is certain none will be.
   */
  void onChange(Runnable waiter) {
    waiters.add(waiter);
  }

  private void wakeWaiters() {
    List<Runnable> woken = List.copyOf(waiters);
    waiters.clear();
    woken.forEach(Runnable::run);
  }
}
