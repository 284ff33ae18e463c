package engine

import "github.com/valyala/fasthttp"

// maxAnswerBytes limits the memory that one answer uses. Reports have some kB.
const maxAnswerBytes = 1 << 20

// client calls engines and other targets.
var client = &fasthttp.Client{MaxResponseBodySize: maxAnswerBytes}
