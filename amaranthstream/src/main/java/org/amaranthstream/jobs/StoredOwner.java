package org.amaranthstream.jobs;

import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.Revision;

/**
 * Ownership record of a job as read from or written to the store.
 *
 * @param job the id of the job
 * @param owner the ownership record
 * @param revision the revision of the record in the store; results are appended only while it is
 *     unchanged
 */
record StoredOwner(JobId job, JobOwner owner, Revision revision) {}
