/** Placement of language requests on engines: cell selection, the queue and memory of a cell, prefix cache matching. */
package org.guavathread.core.placement;
