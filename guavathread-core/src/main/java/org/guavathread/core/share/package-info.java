/** Limits that all hosts enforce without a coordinator, from their own counts and the reports of the others. */
package org.guavathread.core.share;
