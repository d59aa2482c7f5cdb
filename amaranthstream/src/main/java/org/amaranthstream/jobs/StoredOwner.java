package org.amaranthstream.jobs;

import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.Revision;

/**
 * The owner of a job as it stands in the store.
 *
 * @param job the job
 * @param owner the owner
 * @param revision the revision of the record; results are appended only while it is unchanged
 */
record StoredOwner(JobId job, JobOwner owner, Revision revision) {}
