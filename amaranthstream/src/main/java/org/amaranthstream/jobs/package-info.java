/** Batch jobs: accepted durably, run by one owner, their results listed once at fixed positions. */
package org.amaranthstream.jobs;
