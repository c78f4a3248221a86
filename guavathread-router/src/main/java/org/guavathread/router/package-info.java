/** The daemon {@code guavathreadd}: performs the actions that the state machines of the core request. */
package org.guavathread.router;
