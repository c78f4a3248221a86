/** Dispatch: selection of the backend server or engines of a request, with load, health and queueing. */
package org.guavathread.core.dispatch;
