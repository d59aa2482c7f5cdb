/**
 * Batch jobs: each is stored durably before it is accepted, runs on one owner at a time, and lists
 * each result once, at a fixed position.
 */
package org.amaranthstream.jobs;
