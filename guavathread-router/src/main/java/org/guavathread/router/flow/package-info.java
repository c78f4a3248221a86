/** What happens to one request of a caller, step by step. */
package org.guavathread.router.flow;
