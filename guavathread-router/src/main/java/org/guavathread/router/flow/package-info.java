/** Processing of callers' requests: routing, admission, dispatch, retries and answers. */
package org.guavathread.router.flow;
