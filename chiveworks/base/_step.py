"""Steps of an operation at which it can fail."""

from enum import Enum


class Step(str, Enum):
    """Step of an operation at which it failed."""

    ADMIT = 'admit'
    RESOLVE = 'resolve'
    CONNECT = 'connect'
    SEND = 'send'
    WAIT = 'wait'
    READ = 'read'
    CLAIM = 'claim'
    STORE_READ = 'store_read'
    STORE_WRITE = 'store_write'
    REGISTER = 'register'
    START = 'start'
    STOP = 'stop'
    RENEW = 'renew'
    VALIDATE = 'validate'
