/** The duties: each owns one state machine of the core, passes events to it and performs its actions. */
package org.guavathread.router.service;
