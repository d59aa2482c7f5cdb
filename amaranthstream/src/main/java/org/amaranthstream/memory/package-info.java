/** Accounting of the memory that requests, batch jobs and their results take on the heap. */
package org.amaranthstream.memory;
