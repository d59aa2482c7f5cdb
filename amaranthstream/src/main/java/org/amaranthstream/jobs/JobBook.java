package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.JobId;

/**
 * The jobs that this daemon owns, and the owners of others that it has heard of. Not thread safe.
 */
final class JobBook {
  private static final int MAX_KNOWN_OWNERS = 2_000;

  private final Map<JobId, OwnedJob> owned = new LinkedHashMap<>();
  private final Map<JobId, StoredOwner> owners =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, StoredOwner> eldest) {
          return size() > MAX_KNOWN_OWNERS;
        }
      };

  void add(OwnedJob job) {
    owned.put(job.id(), job);
    owners.remove(job.id());
  }

  void remove(JobId job) {
    owned.remove(job);
  }

  Optional<OwnedJob> owned(JobId job) {
    return Optional.ofNullable(owned.get(job));
  }

  ImmutableList<OwnedJob> owned() {
    return ImmutableList.copyOf(owned.values());
  }

  void learn(StoredOwner owner) {
    StoredOwner before = owners.get(owner.job());
    if (before == null || owner.revision().isAfter(before.revision())) {
      owners.put(owner.job(), owner);
    }
  }

  void forget(JobId job) {
    owners.remove(job);
  }

  Optional<StoredOwner> owner(JobId job) {
    return Optional.ofNullable(owners.get(job));
  }
}
