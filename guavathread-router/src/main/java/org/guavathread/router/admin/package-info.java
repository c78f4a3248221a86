/** The HTTP side towards operators: metrics, status and explanations. It only reads. */
package org.guavathread.router.admin;
