/** The duties: each owns one decision of the core, feeds it events and carries out its actions. */
package org.guavathread.router.service;
