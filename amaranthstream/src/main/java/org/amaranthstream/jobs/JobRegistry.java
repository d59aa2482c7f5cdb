package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.JobId;

/**
 * Registry of the jobs that this daemon owns, and a cache of the owners of other jobs. Not thread
 * safe.
 */
final class JobRegistry {
  private static final int MAX_CACHED_OWNERS = 2_000;

  private final Map<JobId, OwnedJob> owned = new LinkedHashMap<>();
  private final Map<JobId, StoredOwner> cachedOwners =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, StoredOwner> eldest) {
          return size() > MAX_CACHED_OWNERS;
        }
      };

  void add(OwnedJob job) {
    owned.put(job.id(), job);
    cachedOwners.remove(job.id());
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

  /** Caches an owner unless the cached record is at least as new. */
  void cacheOwner(StoredOwner owner) {
    StoredOwner before = cachedOwners.get(owner.job());
    if (before == null || owner.revision().isAfter(before.revision())) {
      cachedOwners.put(owner.job(), owner);
    }
  }

  void evictOwner(JobId job) {
    cachedOwners.remove(job);
  }

  Optional<StoredOwner> cachedOwner(JobId job) {
    return Optional.ofNullable(cachedOwners.get(job));
  }
}
