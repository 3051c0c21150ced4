package turmericyokev1_test

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// Guards against a .proto file that was changed without regenerating the Go code.
func TestGeneratedCodeMatches(t *testing.T) {
	generated := []protoreflect.FileDescriptor{
		v1.File_turmericyoke_v1_records_proto,
		v1.File_turmericyoke_v1_control_proto,
		v1.File_turmericyoke_v1_platform_proto,
	}
	sources, err := os.ReadDir(".")
	assert.NilError(t, err)
	protos := slices.DeleteFunc(sources, func(e os.DirEntry) bool { return !regexp.MustCompile(`\.proto$`).MatchString(e.Name()) })
	assert.Equal(t, len(protos), len(generated))
	compiler := protocompile.Compiler{Resolver: &protocompile.SourceResolver{ImportPaths: []string{"../.."}}}
	for _, want := range generated {
		files, err := compiler.Compile(t.Context(), want.Path())
		assert.NilError(t, err)
		source := protodesc.ToFileDescriptorProto(files[0])
		assert.Assert(t, proto.Equal(source, protodesc.ToFileDescriptorProto(want)), "%s was changed; run scripts/generate.sh", want.Path())
		checkProcedures(t, files[0])
	}
}

// checkProcedures compares the procedures of the connect code with the services of the file.
func checkProcedures(t *testing.T, file protoreflect.FileDescriptor) {
	var want []string
	for i := range file.Services().Len() {
		service := file.Services().Get(i)
		for j := range service.Methods().Len() {
			want = append(want, fmt.Sprintf("/%s/%s", service.FullName(), service.Methods().Get(j).Name()))
		}
	}
	if want == nil {
		return
	}
	name := regexp.MustCompile(`\w+\.proto$`).FindString(file.Path())
	code, err := os.ReadFile("turmericyokev1connect/" + name[:len(name)-len(".proto")] + ".connect.go")
	assert.NilError(t, err)
	var found []string
	for _, match := range regexp.MustCompile(`Procedure = "([^"]+)"`).FindAllStringSubmatch(string(code), -1) {
		found = append(found, match[1])
	}
	slices.Sort(want)
	slices.Sort(found)
	assert.DeepEqual(t, found, want)
}
