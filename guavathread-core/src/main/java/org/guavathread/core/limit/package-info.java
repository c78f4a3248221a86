/** Workspace limits: the token budget that a workspace may use over all hosts together. */
package org.guavathread.core.limit;
